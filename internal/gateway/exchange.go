package gateway

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"fennelyard/internal/quarantine"
	"fennelyard/internal/relay"
	"fennelyard/internal/schema"
)

//go:generate go tool stringer -type=Outcome -linecomment

// Outcome is how a request ended.
type Outcome int

// The outcomes.
const (
	OutcomeServed       Outcome = iota // served
	OutcomeServerFailed                // server-failed
	OutcomeNoRoute                     // no-route
	OutcomeNoConfig                    // no-configuration
	OutcomeBadBody                     // bad-body
	OutcomeNoServer                    // no-server
	OutcomeNoModel                     // no-model
	OutcomeBusy                        // busy
	OutcomeBudget                      // repeat-budget
	OutcomeUnknown                     // outcome-unknown
	OutcomeCut                         // cut
	OutcomeTimeout                     // timeout
	OutcomeCallerGone                  // caller-gone
	OutcomeStopping                    // entry-stopping
	OutcomeHeldBack                    // held-back
	OutcomeUnauthorized                // unauthorized
	OutcomeUnconfirmed                 // keys-unconfirmed
	OutcomeOverQuota                   // over-quota
)

const (
	defaultBody = 4 << 20
	// refuseAfter is when callers are asked to come back where nothing tells a
	// better time: a little more than a change of leader or of a server takes to
	// be noticed.
	refuseAfter = 500 * time.Millisecond
	// elsewhereAfter is when callers of a stopping entry are asked to come back:
	// another entry serves them at once.
	elsewhereAfter = 50 * time.Millisecond
	// startWait is until how long after its start an entry waits for its first
	// configuration: a group whose hosts all lost power leads again within a second
	// and a half of their return, where no host is lost.
	startWait = 3 * time.Second
	// minLeft is the least time left with which a request is still sent.
	minLeft = 10 * time.Millisecond
	// writeSlack is how long beyond its deadline an answer may take to be written.
	writeSlack = 500 * time.Millisecond
)

// errCallerGone says that the caller has left or its time is over.
var errCallerGone = errors.New("the caller has gone")

// errGivenUp says that the attempt was given up for one at another server.
var errGivenUp = errors.New("the server has shown nothing for long")

// exchange is one request of a caller.
type exchange struct {
	g      *Gateway
	w      http.ResponseWriter
	r      *http.Request
	call   RequestInfo
	began  time.Time
	random func(int) int

	table    *table
	route    *schema.Route
	access   access
	pool     string
	body     []byte
	ctx      context.Context
	deadline time.Time

	// attempts counts dispatches, runs those that may have run.
	attempts int
	runs     int
	// paid is set where the last attempt was given up with a repeat in hand.
	paid bool
	// tried are the servers that are not asked again.
	tried  []string
	server *server
	// waited is how long the request waited for a model.
	waited time.Duration
	first  time.Duration
	// pause is the longest time between two events of the answer.
	pause time.Duration
	// atOnce and unread are what this entry had at the last server when it was
	// chosen: requests, and prompt tokens not read.
	atOnce int
	unread int
	// guarded is the request as the guard knows it; nil: it was not needed yet.
	guarded *quarantine.KeyedRequest
	// started is set once a byte of the answer has left.
	started bool
	status  int
	outcome Outcome
	cause   error
}

// open finds the route and reads the request; it answers by itself where that
// fails.
func (x *exchange) open() bool {
	if x.table = x.g.table.Load(); x.table == nil {
		// Callers leave where a request is not taken off the connection.
		if !x.read() {
			return false
		}
		x.table = x.firstTable()
	}
	if x.table == nil {
		x.refuse(http.StatusServiceUnavailable, OutcomeNoConfig, refuseAfter)
		return false
	}
	if x.route = x.table.match(x.r.Host, x.r.URL.Path); x.route == nil {
		x.refuse(http.StatusNotFound, OutcomeNoRoute, 0)
		return false
	}
	return x.authorize() && x.read()
}

// read reads the body, once, and answers by itself where it is broken or too long
// for the configuration.
func (x *exchange) read() bool {
	limit := int64(defaultBody)
	if x.table != nil && x.table.limits.GetMaxBodyBytes() > 0 {
		limit = int64(x.table.limits.GetMaxBodyBytes())
	}
	if x.body == nil {
		// One byte over the limit tells a body that is too long.
		if x.body, x.cause = io.ReadAll(io.LimitReader(x.r.Body, limit+1)); x.cause != nil {
			x.refuse(http.StatusBadRequest, OutcomeBadBody, 0)
			return false
		}
	}
	if int64(len(x.body)) > limit {
		x.refuse(http.StatusRequestEntityTooLarge, OutcomeBadBody, 0)
		return false
	}
	return true
}

// firstTable returns the configuration in force. An entry that started a moment
// ago waits for its first one: it comes as soon as the control group leads, and a
// caller who is refused meanwhile and told a time is mostly refused again. One
// that is cut off from the group refuses at once, as it has no word of when.
func (x *exchange) firstTable() *table {
	if t := x.g.table.Load(); t != nil {
		return t
	}
	wait := startWait - x.began.Sub(x.g.began)
	if x.call.Timeout > 0 {
		wait = min(wait, x.call.Timeout/2)
	}
	if wait <= 0 {
		return nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-x.g.configured:
	case <-timer.C:
	case <-x.g.ended.Done():
	case <-x.r.Context().Done():
	}
	return x.g.table.Load()
}

// serve sends the request to one server after the other until one has answered
// or nothing more may be done.
func (x *exchange) serve() {
	wait := time.Duration(x.route.GetTimeoutMs()) * time.Millisecond
	if x.call.Timeout > 0 && x.call.Timeout < wait {
		wait = x.call.Timeout
	}
	x.deadline = x.began.Add(wait)
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline)
	defer cancel()
	defer context.AfterFunc(x.g.ended, cancel)()
	x.ctx = ctx
	if x.heldBack() {
		return
	}
	x.pool = share(x.route, x.random)
	x.g.budget(x.pool).earn(x.began, x.g.entryCount())
	if x.call.Model != "" {
		x.g.asked.arrive(x.target())
	}
	for x.step() {
	}
}

func (x *exchange) target() target { return target{x.pool, x.call.Model, x.call.Adapter} }

// step makes one attempt; it returns whether another one is due.
func (x *exchange) step() bool {
	x.g.guard.AwaitProbes(x.ctx, x.subject())
	if !x.find() || x.heldBack() {
		return false
	}
	if x.attempts > 0 && !x.paid && !x.g.budget(x.pool).spend(time.Now(), x.g.entryCount()) {
		x.giveUp(OutcomeBudget, refuseAfter)
		return false
	}
	x.paid = false
	if !x.authenticate() {
		return false
	}
	left := time.Until(x.deadline)
	if left < minLeft {
		x.giveUp(OutcomeTimeout, 0)
		return false
	}
	return x.attempt(left)
}

// find waits for a server that can serve the request.
func (x *exchange) find() bool {
	for {
		changed := x.g.fleet.await()
		now := time.Now()
		if x.server = x.g.fleet.choose(x.pool, &x.call, x.tried, now, x.random); x.server != nil {
			if x.call.Model == "" && !x.fits() {
				return false
			}
			return !x.backlogged()
		}
		if x.call.Model == "" {
			x.giveUp(OutcomeNoServer, refuseAfter)
			return false
		}
		if !x.await(changed) {
			return false
		}
	}
}

// attempt sends the request to the chosen server and deals with the answer.
func (x *exchange) attempt(left time.Duration) bool {
	s := x.server
	x.attempts++
	ctx, cancel := context.WithCancel(x.ctx)
	defer cancel()
	unread, atOnce, before := x.g.fleet.begin(s, &x.call)
	x.atOnce, x.unread = atOnce, before
	if x.call.Model != "" {
		x.g.asked.read(x.target(), x.g.fleet.readTime(x.pool, unread))
	}
	read := false
	markRead := func() {
		if !read {
			read = true
			x.g.fleet.read(s, unread)
		}
	}
	defer markRead()
	patience := x.patience(cancel, left)
	defer patience.begin()
	sent := time.Now()
	defer func() {
		took := time.Since(sent)
		x.g.fleet.end(s, &x.call, took)
		if x.call.Model != "" {
			x.g.asked.end(x.target(), took)
		}
	}()
	markFirst := func() {
		// What others have there is known late, and would blur what is learned.
		if !read && x.call.Model != "" && before == 0 {
			x.g.fleet.firstRead(x.pool, unread, time.Since(sent))
		}
		markRead()
	}
	answer, err := x.g.cfg.Sender.Send(ctx, s.address, x.request(left, 0))
	if err != nil {
		x.paid = !patience.begin()
		return x.failed(s, err)
	}
	defer answer.Close()
	verdict := x.g.cfg.Codec.ParseResponse(answer.Status, answer.Header)
	if verdict.NotRun {
		x.paid = !patience.begin()
		return x.notRun(s, answer, verdict)
	}
	x.runs++
	if x.route.GetStream() && answer.Status == http.StatusOK && verdict.Signed {
		return x.stream(s, answer, patience, markFirst)
	}
	if x.paid = !patience.begin(); x.paid {
		return x.failedIn(s, errGivenUp)
	}
	defer func() { x.g.pace(x.pool).observe(time.Since(sent)) }()
	return x.whole(s, answer, verdict)
}

func (x *exchange) request(left time.Duration, after int64) *relay.Request {
	h := relay.EndToEndHeader(x.r.Header)
	x.g.cfg.Codec.SetForwardHeader(h, ForwardInfo{
		Server: x.server.server, Timeout: left, LastEventID: after, Priority: x.urgency(), Team: x.teamName(),
	})
	id := x.call.ID
	return &relay.Request{
		Method: x.r.Method, Target: x.r.RequestURI, Host: x.r.Host, Header: h, Body: x.body,
		MatchesResponse: func(a http.Header) bool { return x.g.cfg.Codec.MatchesRequest(a, id) },
	}
}

// failed deals with an attempt that brought no answer.
func (x *exchange) failed(s *server, err error) bool {
	x.cause = err
	if x.r.Context().Err() != nil {
		x.giveUp(OutcomeCallerGone, 0)
		return false
	}
	if x.g.ended.Err() != nil {
		x.endNow(err)
		return false
	}
	x.g.fleet.bad(s, time.Now())
	x.brokeOff(s, err)
	x.tried = append(x.tried, s.id)
	if errors.Is(err, relay.ErrNotSent) {
		x.attempts--
		return x.timeLeft()
	}
	x.runs++
	return x.timeLeft() && x.repeat()
}

// endNow answers a request whose dispatch the end of this entry broke off.
func (x *exchange) endNow(err error) {
	if !errors.Is(err, relay.ErrNotSent) {
		x.runs++
	}
	x.giveUp(OutcomeStopping, elsewhereAfter)
}

func (x *exchange) timeLeft() bool {
	if time.Until(x.deadline) < minLeft {
		x.giveUp(OutcomeTimeout, 0)
		return false
	}
	return true
}

// repeat tells whether a request that may have run may be sent again, and
// answers it where not.
func (x *exchange) repeat() bool {
	if x.route.GetRepeat() == schema.Repeat_REPEAT_NEVER || x.runs >= int(max(x.route.GetMaxAttempts(), 1)) {
		x.giveUp(OutcomeUnknown, 0)
		return false
	}
	return true
}

// notRun deals with a server's word that it did not run the request.
func (x *exchange) notRun(s *server, answer *relay.Response, v ResponseInfo) bool {
	x.cause = errors.Newf("server %s: status %d, not run", s.id, answer.Status)
	if v.Misdirected && x.call.Model != "" {
		x.g.fleet.lacks(s, x.call.Model, x.call.Adapter, time.Now())
		return x.timeLeft()
	}
	if !v.Misdirected && x.call.Adapter != "" && x.attempts < adapterTries {
		// The adapter may still be on its way.
		x.g.fleet.lacks(s, x.call.Model, x.call.Adapter, time.Now())
		return x.timeLeft()
	}
	x.tried = append(x.tried, s.id)
	if x.attempts >= busyTries {
		x.giveUp(OutcomeBusy, x.g.pace(x.pool).wait())
		return false
	}
	return x.timeLeft()
}

const (
	// adapterTries is how often a server that is loading the adapter is asked.
	adapterTries = 3
	// busyTries is how many full servers a request is shown to: with two full
	// ones of a pool the others most often are as well.
	busyTries = 3
)

// giveUp gives the final answer to a request that is not served.
func (x *exchange) giveUp(o Outcome, after time.Duration) {
	status := http.StatusServiceUnavailable
	switch {
	case x.started || o == OutcomeCallerGone:
		x.abort(o)
		return
	case x.runs == 0 && o == OutcomeUnauthorized:
		status = http.StatusUnauthorized
	case x.runs > 0 && o == OutcomeTimeout:
		status = http.StatusGatewayTimeout
	case x.runs > 0:
		status = http.StatusBadGateway
	}
	x.refuse(status, o, after)
}

// refuse writes an answer of this system's own.
func (x *exchange) refuse(status int, o Outcome, after time.Duration) {
	x.status, x.outcome = status, o
	h := x.w.Header()
	if after > 0 && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) {
		h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 2, 64))
	}
	h.Set("Content-Length", "0")
	x.w.WriteHeader(status)
}

// abort ends an answer that is under way, so that it does not look complete.
func (x *exchange) abort(o Outcome) {
	x.status, x.outcome = 0, o
}

// whole passes on an answer without events. It is read to its end first: a
// broken one can still become another attempt or an honest failure.
func (x *exchange) whole(s *server, answer *relay.Response, v ResponseInfo) bool {
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return x.failedIn(s, err)
	}
	success := answer.Status >= 200 && answer.Status < 300
	if success && !v.Signed || answer.Header.Get("Content-Encoding") != "" {
		return x.failedIn(s, errors.Newf("status %d without a signature", answer.Status))
	}
	x.g.fleet.good(s)
	x.g.guard.AttemptCompleted(x.subject())
	if answer.Status >= http.StatusInternalServerError && x.mayRepeatNow() {
		x.cause = errors.Newf("server %s: status %d", s.id, answer.Status)
		x.tried = append(x.tried, s.id)
		return true
	}
	x.pass(answer)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(answer.Status)
	x.first = time.Since(x.began)
	x.status, x.outcome = answer.Status, OutcomeServed
	if !success {
		x.outcome = OutcomeServerFailed
	}
	if _, err = x.w.Write(body); err != nil {
		x.cause, x.outcome = err, OutcomeCallerGone
	}
	return false
}

// mayRepeatNow also asks whether there is anything to repeat with.
func (x *exchange) mayRepeatNow() bool {
	if x.route.GetRepeat() != schema.Repeat_REPEAT_WHOLE || x.runs >= int(x.route.GetMaxAttempts()) {
		return false
	}
	if time.Until(x.deadline) < minLeft {
		return false
	}
	tried := slices.Concat(x.tried, []string{x.server.id})
	return x.g.fleet.choose(x.pool, &x.call, tried, time.Now(), x.random) != nil &&
		x.g.budget(x.pool).peek(time.Now(), x.g.entryCount())
}

// failedIn deals with an answer that broke off or is no answer.
func (x *exchange) failedIn(s *server, err error) bool {
	x.runs--
	return x.failed(s, err)
}

// pass copies the header of a server's answer.
func (x *exchange) pass(answer *relay.Response) {
	h := x.w.Header()
	for k, v := range relay.EndToEndHeader(answer.Header) {
		h[k] = v
	}
	// The server's own date stays, or none is made up.
	if h.Get("Date") == "" {
		h["Date"] = nil
	}
	x.started = true
	_ = http.NewResponseController(x.w).SetWriteDeadline(x.deadline.Add(writeSlack))
}

// finish logs the request, and ends a broken answer.
func (x *exchange) finish() {
	x.release()
	x.g.report(x)
	if x.status == 0 {
		panic(http.ErrAbortHandler)
	}
}
