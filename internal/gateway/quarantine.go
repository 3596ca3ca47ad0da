package gateway

import (
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"fennelyard/internal/bound"
	"fennelyard/internal/quarantine"
	"fennelyard/internal/relay"
	"fennelyard/internal/schema"
)

// keyedRequest returns the request with its key, for the guard.
func (x *exchange) keyedRequest() *quarantine.KeyedRequest {
	if x.keyed == nil {
		x.keyed = quarantine.NewKeyedRequest(quarantine.Request{
			Method: x.r.Method, Host: x.r.Host, Target: x.r.RequestURI, Caller: x.info.APIKey, Body: x.body,
		}, x.carriers()...)
	}
	return x.keyed
}

// Suspects returns the requests that this entry suspects.
func (g *Gateway) Suspects() *quarantine.SuspectSet { return g.guard.Suspects() }

// MergeSuspects merges the suspects of another entry.
func (g *Gateway) MergeSuspects(list []*schema.Suspect) {
	g.mergeSuspects(list, quarantine.SourceEntry)
}

// mergeSuspects merges suspects of other hosts, and ejects the servers that ended under them.
func (g *Gateway) mergeSuspects(list []*schema.Suspect, source quarantine.Source) {
	g.guard.Merge(list, source)
	if ejected := g.fleet.recordEnded(list, time.Now()); len(ejected) > 0 {
		g.cfg.Log.Info("servers ejected that have ended", "count", len(ejected), "servers", ejected[:min(len(ejected), maxServersLogged)])
	}
}

// maxCarrierParts is the maximum number of parts of a prompt that are looked at for what
// crashes servers.
const maxCarrierParts = 16

// carriers returns what the request shares with others, the narrowest first. The last part
// of a prompt is that of the request or of its session, which stays at one model.
func (x *exchange) carriers() []quarantine.Carrier {
	info := &x.info
	parts := info.PromptParts[:min(len(info.PromptParts), maxCarrierParts)]
	out := make([]quarantine.Carrier, 0, 2*len(parts)+3)
	for depth, part := range slices.Backward(parts) {
		if depth == len(info.PromptParts)-1 {
			out = append(out, quarantine.Carrier{Scope: quarantine.ScopeSession, Name: part.ID})
			continue
		}
		out = append(out,
			quarantine.Carrier{Scope: quarantine.ScopePart, Name: part.ID, Depth: depth},
			quarantine.Carrier{Scope: quarantine.ScopePartAtModel, Name: part.ID, Within: info.Model, Depth: depth})
	}
	if info.Adapter != "" {
		out = append(out, quarantine.Carrier{Scope: quarantine.ScopeAdapter, Name: info.Adapter, Within: info.Model})
	}
	if info.Model != "" {
		out = append(out, quarantine.Carrier{Scope: quarantine.ScopeModel, Name: info.Model})
	}
	if team := x.teamName(); team != "" {
		out = append(out, quarantine.Carrier{Scope: quarantine.ScopeTeam, Name: team})
	}
	return out
}

// attemptCompleted records that a response was read to its regular end.
func (x *exchange) attemptCompleted(s *server) {
	x.g.guard.AttemptCompleted(x.keyedRequest(), s.kind)
}

// suspectServer returns a server as the guard knows it.
func (s *server) suspectServer() quarantine.Server {
	return quarantine.Server{ID: s.id, Address: s.address, Kind: s.kind}
}

// reportBound logs a bound that the response of a server has met.
func (x *exchange) reportBound(s *server, err error) {
	met := bound.Of(err)
	if met == nil {
		return
	}
	x.g.cfg.Log.Info("response over a bound", "server", s.id, "address", s.address, "via", x.via, "bound", met.Kind.String(),
		"limit", met.Limit, "request", x.info.ID)
	if x.g.cfg.OnBoundMet != nil {
		x.g.cfg.OnBoundMet(met.Kind)
	}
}

// reportInterruption reports an attempt that ended before its response to the guard. An interruption by the
// caller, by the deadline or by this entry proves nothing about the server, which may crash later. A
// server that is leaving ends whatever it runs.
func (x *exchange) reportInterruption(s *server, err error) {
	x.reportBound(s, err)
	switch {
	case errors.Is(err, relay.ErrNotSent) || !x.g.fleet.isReady(s):
	case !errors.Is(err, relay.ErrInterrupted) || x.retryReserved || x.timedOut():
		x.g.guard.AttemptAbandoned(x.keyedRequest(), s.suspectServer())
	default:
		x.g.guard.AttemptFailed(x.keyedRequest(), s.suspectServer())
	}
}

// refusedByQuarantine refuses at once a request that is known to end all servers that could run it. Another
// attempt would fail in the same way and would interrupt all requests that run beside it. From now on
// servers of other kinds alone are chosen for it.
func (x *exchange) refusedByQuarantine() bool {
	retryAfter, quarantined := x.heldBack()
	if quarantined {
		x.fail(OutcomeHeldBack, retryAfter)
	}
	return quarantined
}

// copyKey returns RequestInfo.copyKey. Engines are chosen by what they have cached of a prompt, which brings
// copies together anyway.
func (x *exchange) copyKey() string {
	if x.info.Model != "" || !x.g.guard.Unproven(x.keyedRequest()) {
		return ""
	}
	return strconv.FormatUint(x.keyedRequest().CopyHash(), 16)
}

// heldBack updates from which kinds of servers the request is held back, and reports whether it is from all
// that could run it, and for how long.
func (x *exchange) heldBack() (time.Duration, bool) {
	x.info.hold = x.g.guard.Hold(x.keyedRequest())
	if x.info.hold.Empty() {
		return 0, false
	}
	return x.g.fleet.heldFromAll(x.pool, &x.info, time.Now())
}

// heldFromAll reports whether a request is held back from all servers that have what it needs, and the time
// after which the first of them may run it.
func (f *fleet) heldFromAll(pool string, info *RequestInfo, now time.Time) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	servers := f.withNeeds(pool, info, nil, now)
	switch {
	case len(servers) == 0:
		return info.hold.Longest(), !f.hasOtherKind(pool, info)
	case len(f.ofVersion(withoutHeld(slices.Clone(servers), info), pool, info)) > 0:
		return 0, false
	}
	shortest := info.hold.Longest()
	for _, s := range f.ofVersion(servers, pool, info) {
		if left, held := info.hold.At(s.kind); held {
			shortest = min(shortest, left)
		}
	}
	return shortest, true
}

// heldVersions returns the versions of a pool's software from which a request is held back.
func (f *fleet) heldVersions(pool string, info *RequestInfo) (out []string) {
	if info.hold.Empty() {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.servers {
		if _, held := info.hold.At(s.kind); held && s.view.GetPool() == pool && !slices.Contains(out, s.view.GetSoftware()) {
			out = append(out, s.view.GetSoftware())
		}
	}
	slices.Sort(out)
	return out
}

// hasOtherKind reports whether a pool has servers from which a request is not held back; the caller holds
// mu.
func (f *fleet) hasOtherKind(pool string, info *RequestInfo) bool {
	for _, s := range f.servers {
		if _, held := info.hold.At(s.kind); !held && s.view.GetPool() == pool && s.ready() {
			return true
		}
	}
	return false
}
