package gateway

import (
	"context"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"time"
	"unicode/utf8"

	"github.com/cockroachdb/errors"

	"fennelyard/internal/bound"
	"fennelyard/internal/drain"
	"fennelyard/internal/memory"
	"fennelyard/internal/origin"
	"fennelyard/internal/quarantine"
	"fennelyard/internal/relay"
	"fennelyard/internal/schema"
	"fennelyard/internal/tcp"
)

//go:generate go tool stringer -type=Outcome -linecomment

// Outcome is the result of a request.
type Outcome int

// The outcomes.
const (
	OutcomeServed         Outcome = iota // served
	OutcomeServerFailed                  // server-failed
	OutcomeNoRoute                       // no-route
	OutcomeNoConfig                      // no-configuration
	OutcomeBadBody                       // bad-body
	OutcomeNoServer                      // no-server
	OutcomeNoModel                       // no-model
	OutcomeBusy                          // busy
	OutcomeBudget                        // repeat-budget
	OutcomeUnknown                       // outcome-unknown
	OutcomeCut                           // cut
	OutcomeTimeout                       // timeout
	OutcomeCallerGone                    // caller-gone
	OutcomeStopping                      // entry-stopping
	OutcomeHeldBack                      // held-back
	OutcomeUnauthorized                  // unauthorized
	OutcomeUnconfirmed                   // keys-unconfirmed
	OutcomeOverQuota                     // over-quota
	OutcomeServerLimit                   // server-limit
	OutcomeServerCooldown                // server-cooldown
	OutcomeNoPath                        // no-path
	OutcomeBadResumes                    // bad-resumes
	OutcomeVersionUnknown                // version-unknown
	OutcomeVersionGone                   // version-gone
	OutcomeNoMemory                      // no-memory
	OutcomeNoGrant                       // no-grant
	OutcomeNotText                       // not-text
	OutcomeNoConnection                  // no-connection
)

const (
	defaultMaxBodyBytes = 4 << 20
	defaultMaxHeadBytes = 64 << 10
	// defaultRetryAfter is the Retry-After sent to callers when no better estimate exists:
	// slightly more than the time to detect a change of leader or the loss of a server.
	defaultRetryAfter = 500 * time.Millisecond
	// startupWait is how long after its start an entry lets requests wait for the first
	// configuration. After a power loss of all control hosts the group elects a leader within a
	// second and a half of their return if no host is lost.
	startupWait = 3 * time.Second
	// minTimeLeft is the least time before the deadline with which a request is still forwarded.
	minTimeLeft = 10 * time.Millisecond
	// writeSlack is the time beyond the deadline that a response may take to be written.
	writeSlack = 500 * time.Millisecond
)

// errCallerGone is returned if the caller has disconnected or its deadline has passed.
var errCallerGone = errors.New("the caller has disconnected")

// errAttemptTimeout is returned if an attempt is canceled in favour of one at another server.
var errAttemptTimeout = errors.New("no response from the server within the attempt timeout")

// exchange is one request of a caller and its response.
type exchange struct {
	g         *Gateway
	w         http.ResponseWriter
	r         *http.Request
	info      RequestInfo
	startTime time.Time
	random    func(int) int

	table  *routeTable
	route  *schema.Route
	access access
	pool   string
	body   []byte
	// bodyMemory is what the body takes, and bodyRead is set once it has been read.
	bodyMemory *memory.Share
	bodyRead   bool
	// bodyEnded is set once the whole body has been read.
	bodyEnded bool
	ctx       context.Context
	deadline  time.Time

	// attempts counts dispatches, runs those that may have run.
	attempts int
	runs     int
	// retryReserved is set if the last attempt was canceled after a retry was taken from the
	// budget.
	retryReserved bool
	// abandoned is set if the last attempt ended before its response did.
	abandoned bool
	// excluded lists the servers that are not tried again.
	excluded []string
	server   *server
	// via is the address of the host through which the last connection was made, empty for none.
	via string
	// sentAt is when a server was last found to take new work, right before the request was sent to it, and
	// rosterAge how long ago the leader's view of it was confirmed then.
	sentAt    time.Time
	rosterAge time.Duration
	// waited is how long the request waited for a model.
	waited          time.Duration
	timeToFirstByte time.Duration
	// maxPause is the longest time between two events of the response.
	maxPause time.Duration
	// inFlightBefore and pendingPrefillBefore are the load at the last server when it was chosen:
	// this entry's requests, and the prompt tokens whose prefill was pending.
	inFlightBefore       int
	pendingPrefillBefore int
	// framing is that of the last response, and lastEventID the last event that was forwarded.
	framing     relay.Framing
	lastEventID int64
	// statedLimit is the limit that the last response stated.
	statedLimit LimitStatement
	// statedCooldown is the cooldown that the last response stated; 0: none.
	statedCooldown time.Duration
	// keyed is the request with its key, for the guard; nil until first needed.
	keyed *quarantine.KeyedRequest
	// origin is the origin recorded last, the zero value for none; its Attempt increases with each. originEntries
	// are the entries that may hold an earlier one.
	origin        origin.Origin
	originEntries []string
	// originRecorded is closed once another entry has recorded where the stream begins; nil if none is to.
	originRecorded chan struct{}
	// started is set once a byte of the response was sent to the caller.
	started bool
	status  int
	outcome Outcome
	cause   error
}

// open finds the route, authorizes the caller and reads the request. On failure it sends the
// response itself and returns false.
func (x *exchange) open() bool {
	if !utf8.ValidString(x.info.Model) || !utf8.ValidString(x.info.Adapter) {
		// No model has such a name, and reports to the control host can't carry it.
		x.refuse(http.StatusBadRequest, OutcomeNotText, 0)
		return false
	}
	if x.table = x.g.table.Load(); x.table == nil {
		// The body is read before waiting for a configuration: callers disconnect if their request is
		// not read from the connection.
		x.setDeadline()
		if !x.readBody() {
			return false
		}
		x.table = x.awaitTable()
	}
	if x.table == nil && x.g.isDraining() {
		x.refuseForStop()
		return false
	}
	if x.table == nil {
		x.refuse(http.StatusServiceUnavailable, OutcomeNoConfig, defaultRetryAfter)
		return false
	}
	if x.route = x.table.match(x.r.Host, x.r.URL.Path); x.route == nil {
		x.refuse(http.StatusNotFound, OutcomeNoRoute, 0)
		return false
	}
	x.setDeadline()
	return !x.refusedByStop(time.Now()) && x.authorize() && x.readBody() && x.awaitGrant()
}

// setDeadline sets the request's deadline by the caller's and the route's timeout. The route of a request that comes
// before the first configuration is not known yet.
func (x *exchange) setDeadline() {
	timeout := bound.BodyTimeout
	if x.route != nil {
		timeout = time.Duration(x.route.GetTimeoutMs()) * time.Millisecond
	}
	if x.info.Timeout > 0 && x.info.Timeout < timeout {
		timeout = x.info.Timeout
	}
	x.deadline = x.startTime.Add(timeout)
}

// readBody reads the body once. It sends the response itself and returns false if the body
// cannot be read or exceeds the limit of the configuration.
func (x *exchange) readBody() bool {
	limit := int64(defaultMaxBodyBytes)
	if x.table != nil && x.table.limits.GetMaxBodyBytes() > 0 {
		limit = int64(x.table.limits.GetMaxBodyBytes())
	}
	if bound.HasUnstatedBody(x.r) {
		x.refuse(http.StatusBadRequest, OutcomeBadBody, 0)
		return false
	}
	if x.r.ContentLength > limit {
		x.refuse(http.StatusRequestEntityTooLarge, OutcomeBadBody, 0)
		return false
	}
	if !x.bodyRead {
		x.bodyRead = true
		end := x.boundBodyTime()
		// Reading one byte over the limit detects a body that is too long.
		x.body, x.bodyEnded, x.cause = x.bodyMemory.Read(x.r.Body, x.r.ContentLength, limit+1)
		end()
	}
	switch {
	case errors.Is(x.cause, os.ErrDeadlineExceeded) && x.g.isDraining() && time.Now().Before(x.deadline):
		x.refuseForStop()
	case errors.Is(x.cause, os.ErrDeadlineExceeded):
		x.refuse(http.StatusRequestTimeout, OutcomeBadBody, 0)
	case x.cause != nil:
		x.refuse(http.StatusBadRequest, OutcomeBadBody, 0)
	case int64(len(x.body)) > limit:
		x.refuse(http.StatusRequestEntityTooLarge, OutcomeBadBody, 0)
	case !x.bodyEnded:
		x.refuse(http.StatusServiceUnavailable, OutcomeNoMemory, defaultRetryAfter)
	default:
		return true
	}
	return false
}

// awaitTable returns the current route table, nil if there is none. A request at a newly
// started entry waits for the first configuration: it arrives as soon as the control group has
// a leader, and a caller that is refused with a Retry-After in the meantime is mostly refused
// again. If there is still none startupWait after the start, requests are refused at once: the
// entry is partitioned from the group and cannot know when a configuration will arrive.
func (x *exchange) awaitTable() *routeTable {
	if t := x.g.table.Load(); t != nil {
		return t
	}
	wait := startupWait - x.startTime.Sub(x.g.startTime)
	if x.info.Timeout > 0 {
		wait = min(wait, x.info.Timeout/2)
	}
	if wait <= 0 {
		return nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-x.g.configured:
	case <-timer.C:
	case <-x.g.draining.Done():
	case <-x.r.Context().Done():
	}
	return x.g.table.Load()
}

// serve tries one server after another until one has responded or no further attempt is
// allowed.
func (x *exchange) serve() {
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline)
	defer cancel()
	defer context.AfterFunc(x.g.aborted, cancel)()
	x.ctx = ctx
	x.pool = pickPool(x.route, x.random)
	x.info.copyKey = x.copyKey()
	if x.refusedByQuarantine() {
		return
	}
	if !x.bindToOrigin() {
		return
	}
	x.g.retryBudget(x.pool).deposit(x.startTime, x.g.sharingEntries())
	if x.info.Model != "" {
		x.g.demand.addArrival(x.target())
	}
	for x.tryNext() {
	}
}

func (x *exchange) target() target { return target{x.pool, x.info.Model, x.info.Adapter} }

// tryNext makes one attempt and reports whether another one should follow.
func (x *exchange) tryNext() bool {
	x.g.guard.AwaitProbes(x.ctx, x.keyedRequest())
	if x.refusedByQuarantine() || x.refusedByStop(time.Now()) || !x.findServer() || x.refusedByStop(time.Now()) {
		return false
	}
	if x.attempts > 0 && !x.retryReserved && !x.g.retryBudget(x.pool).withdraw(time.Now(), x.g.sharingEntries()) {
		x.fail(OutcomeBudget, defaultRetryAfter)
		return false
	}
	x.retryReserved = false
	if !x.authenticate() {
		return false
	}
	if !x.recordOrigin(x.server) {
		x.fail(OutcomeVersionUnknown, defaultRetryAfter)
		return false
	}
	remaining := time.Until(x.deadline)
	if remaining < minTimeLeft {
		x.fail(OutcomeTimeout, 0)
		return false
	}
	return x.attempt(remaining)
}

func (x *exchange) hasTimeLeft() bool {
	if time.Until(x.deadline) < minTimeLeft {
		x.fail(OutcomeTimeout, 0)
		return false
	}
	return true
}

// fail sends the final response to a request that is not served. The status depends on whether
// the request may have run.
func (x *exchange) fail(outcome Outcome, retryAfter time.Duration) {
	status := http.StatusServiceUnavailable
	switch {
	case x.started || outcome == OutcomeCallerGone:
		x.abort(outcome)
		return
	case x.runs == 0 && outcome == OutcomeUnauthorized:
		status = http.StatusUnauthorized
	case x.runs > 0 && outcome == OutcomeTimeout:
		status = http.StatusGatewayTimeout
	case x.runs > 0:
		status = http.StatusBadGateway
	}
	x.refuse(status, outcome, retryAfter)
}

// refuse writes an error response of the entry itself.
func (x *exchange) refuse(status int, outcome Outcome, retryAfter time.Duration) {
	x.status, x.outcome = status, outcome
	h := x.w.Header()
	if retryAfter > 0 && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) {
		h.Set(headerRetryAfter, formatSeconds(retryAfter))
	}
	h.Set("Content-Length", "0")
	abandons := x.r.ContentLength != 0 && !x.bodyEnded && (x.bodyRead || status == http.StatusRequestEntityTooLarge || x.g.isDraining())
	if abandons {
		drain.AbandonBody(x.w, x.r)
	}
	x.w.WriteHeader(status)
	if abandons && x.r.Close {
		drain.DiscardBody(x.w, x.r)
	}
}

const headerRetryAfter = "Retry-After"

func formatSeconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 2, 64) }

// abort interrupts a response in progress, so that it does not look complete.
func (x *exchange) abort(outcome Outcome) {
	x.status, x.outcome = 0, outcome
}

// relayResponse forwards a response that is not an event stream. It is held until it is complete, so that an
// interrupted response can still be retried or reported as a failure. One that is longer than
// bound.HeldResponseBytes, or than there is memory for, is forwarded as it comes. onHeld is called once no more
// of it is held.
func (x *exchange) relayResponse(s *server, response *relay.Response, responseInfo ResponseInfo, onHeld func()) bool {
	success := response.Status >= 200 && response.Status < 300
	if success && !responseInfo.Signed || response.Header.Get("Content-Encoding") != "" {
		onHeld()
		return x.responseFailed(s, errors.Newf("status %d without a signature", response.Status))
	}
	share := x.g.cfg.Memory.NewShare()
	defer share.Release()
	held, complete, err := share.Read(response.Body, response.Length, bound.HeldResponseBytes)
	onHeld()
	if err != nil {
		return x.responseFailed(s, err)
	}
	if complete {
		x.responseEnded(s, response)
	}
	if response.Status >= http.StatusInternalServerError && x.canRetryNow() {
		x.cause = errors.Newf("server %s: status %d", s.id, response.Status)
		x.excluded = append(x.excluded, s.id)
		return true
	}
	x.copyHeader(response)
	if responseInfo.Cooldown.Wait > 0 {
		x.replaceRetryAfter()
	}
	switch {
	case complete:
		x.w.Header().Set("Content-Length", strconv.Itoa(len(held)))
	case response.Length >= 0:
		x.w.Header().Set("Content-Length", strconv.FormatInt(response.Length, 10))
	}
	x.w.WriteHeader(response.Status)
	x.timeToFirstByte = time.Since(x.startTime)
	x.status, x.outcome = response.Status, OutcomeServed
	if !success {
		x.outcome = OutcomeServerFailed
	}
	_, err = x.w.Write(held)
	if complete {
		if err != nil {
			x.cause, x.outcome = err, OutcomeCallerGone
		}
		return false
	}
	held = nil
	share.Release()
	if err != nil {
		err = errors.Newf("write response: %v: %w", err, errCallerGone)
	} else {
		err = x.forwardBody(response.Body)
	}
	if err != nil {
		x.forwardingFailed(s, err)
		return false
	}
	x.responseEnded(s, response)
	return false
}

// forwardBody forwards the rest of a body, no faster than the caller reads it. The error wraps errCallerGone
// if the caller has disconnected.
func (x *exchange) forwardBody(body io.Reader) error {
	readErr, writeErr := tcp.Copy(x.w, body, nil)
	switch {
	case writeErr != nil:
		return errors.Newf("forward response: %v: %w", writeErr, errCallerGone)
	case readErr != nil:
		return errors.Newf("forward response: %w", readErr)
	}
	return nil
}

// responseEnded records a response that the server has sent to its end.
func (x *exchange) responseEnded(s *server, response *relay.Response) {
	x.g.fleet.recordSuccess(s)
	if response.Status < http.StatusInternalServerError {
		x.attemptCompleted(s)
	}
}

// forwardingFailed ends a response of which a part has been sent to the caller, so that it does not look
// complete.
func (x *exchange) forwardingFailed(s *server, err error) {
	x.cause, x.abandoned = err, true
	outcome := OutcomeCut
	switch {
	case errors.Is(err, errCallerGone) || x.r.Context().Err() != nil:
		outcome = OutcomeCallerGone
	case x.g.aborted.Err() != nil:
		outcome = OutcomeStopping
	case x.timedOut():
		outcome = OutcomeTimeout
	default:
		x.g.fleet.recordFailure(s, time.Now())
	}
	if outcome != OutcomeStopping {
		x.reportInterruption(s, err)
	}
	x.fail(outcome, 0)
}

// canRetryNow reports whether a request that has run may be retried, and whether a server and a
// retry of the budget are available.
func (x *exchange) canRetryNow() bool {
	if x.route.GetRepeat() != schema.Repeat_REPEAT_WHOLE || x.runs >= int(x.route.GetMaxAttempts()) {
		return false
	}
	if time.Until(x.deadline) < minTimeLeft {
		return false
	}
	excluded := slices.Concat(x.excluded, []string{x.server.id})
	return x.g.fleet.choose(x.pool, &x.info, excluded, time.Now(), x.random) != nil &&
		x.g.retryBudget(x.pool).available(time.Now(), x.g.sharingEntries())
}

// responseFailed handles a response that was interrupted or is invalid.
func (x *exchange) responseFailed(s *server, err error) bool {
	x.runs--
	return x.attemptFailed(s, err)
}

// copyHeader copies the header of a server's response.
func (x *exchange) copyHeader(response *relay.Response) {
	h := x.w.Header()
	for k, v := range relay.EndToEndHeader(response.Header) {
		h[k] = v
	}
	// The server's Date is forwarded; without one, net/http must not add its own.
	if h.Get("Date") == "" {
		h["Date"] = nil
	}
	x.started = true
	_ = http.NewResponseController(x.w).SetWriteDeadline(x.deadline.Add(writeSlack))
}

// finish logs the request, and resets the connection of an interrupted response.
func (x *exchange) finish() {
	x.bodyMemory.Release()
	x.streamEnded()
	x.refundQuota()
	x.g.logRequest(x)
	if x.status == 0 {
		tcp.AbortResponse(x.w)
	}
}
