package role

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/go-logr/logr"

	"fennelyard/internal/ledger"
	"fennelyard/internal/roster"
	"fennelyard/internal/schema"
)

// RecordDeparture commits a departure whose caller gave up before the commit: the roster is
// not updated.
func (c *Control) RecordDeparture(id string) error {
	return c.commit(context.Background(), &schema.Command{Body: &schema.Command_DepartServer{
		DepartServer: &schema.DepartServer{Server: id},
	}})
}

// Voters returns the number of voters, and whether this host leads.
func (c *Control) Voters() (n int, leads bool) {
	status := c.group.Status()
	for _, m := range status.Membership.GetMembers() {
		if !m.GetLearner() {
			n++
		}
	}
	return n, status.CommittedInTerm
}

// IsVoter reports whether this host is a voter as far as it knows.
func (c *Control) IsVoter() bool {
	status := c.group.Status()
	for _, m := range status.Membership.GetMembers() {
		if m.GetId() == status.ID {
			return !m.GetLearner()
		}
	}
	return false
}

// EntryPacer is the pacer of one entry's stream, with a roster that contains engine i-1.
type EntryPacer struct {
	pacer  updatePacer
	roster *roster.Roster
	sent   uint64
}

// NewEntryPacer returns the pacer of a host with the given number of subscribed entries.
func NewEntryPacer(entries int) (*EntryPacer, *roster.Roster) {
	r := roster.New(roster.Config{
		AnnounceEvery: time.Second, Departed: func(string) bool { return false }, Now: time.Now, Log: logr.Discard(),
	})
	r.Announce(roster.Announcement{ID: "i-1", Pool: "llm", Address: "e:1", Sequence: 1})
	p := &EntryPacer{roster: r}
	p.pacer = updatePacer{
		interval: entryUpdateInterval, batchDelay: func() time.Duration { return entryBatchDelay(entries) },
		nextLogChange: neverChanged, nextRosterChange: r.Changed, nextSuspectChange: neverChanged, nextPermits: neverChanged,
		nextForecasts: neverChanged, hasForecast: alwaysHasForecast,
		hasTarget: func(targets []*schema.ModelDemand) bool { return r.HasTargetSince(p.sent, targets) },
		queries:   make(chan forecastQuery, 1),
	}
	p.pacer.start()
	return p, r
}

// SetDemand sets what callers of the entry wait for.
func (p *EntryPacer) SetDemand(d *schema.ModelDemand) { p.pacer.setQuery([]*schema.ModelDemand{d}) }

// AwaitDue returns when an update to the entry is due, and counts all changes so far as
// sent.
func (p *EntryPacer) AwaitDue(ctx context.Context) bool {
	p.pacer.watchChanges()
	_, p.sent = p.roster.ServersSince(p.sent)
	p.pacer.queryPending = false
	return p.pacer.awaitDue(ctx)
}

// EncodedChangesSince returns the encoded changes that an entry at a revision is missing,
// without a cache.
func EncodedChangesSince(l *ledger.Ledger, after uint64) ([]byte, uint64) {
	return (&changesCache{}).since(l, after)
}

// DescribeMembership returns this host's role and the membership it knows.
func (c *Control) DescribeMembership() string {
	status := c.group.Status()
	return fmt.Sprint(status.Role, " of term ", status.Term, " knows ", status.Membership.GetMembers())
}

// Version returns the version of the configuration in force at this entry.
func (e *Entry) Version() uint64 { return uint64(e.gateway.State().Version) }

// AcceptsKey reports whether this entry accepts requests with an API key.
func (e *Entry) AcceptsKey(key string) bool { return e.gateway.AcceptsKey(key) }

// CallerHandler returns the handler for callers' requests.
func (e *Entry) CallerHandler() http.Handler { return e.gateway }

// Subscriptions returns the number of streams to control hosts that this entry has opened.
func (e *Entry) Subscriptions() uint64 { return e.gateway.State().Subscriptions }

// ControlHost returns the IP address of the control host that this entry subscribes to, or
// "".
func (e *Entry) ControlHost() string {
	host := e.gateway.State().ControlHost
	if host == "" {
		return ""
	}
	return ipOf(host)
}

// Servers returns the number of backend servers this entry knows.
func (e *Entry) Servers() int { return e.gateway.State().Servers }

// HeldBack returns the number of requests that the entry holds back.
func (e *Entry) HeldBack() int { return e.gateway.State().HeldBack }

// ReadyServers returns the number of backend servers that accept new work.
func (e *Entry) ReadyServers() int { return e.gateway.State().Ready }

// LagDetector exports lagDetector.
type LagDetector struct{ detector lagDetector }

// Exceeded calls exceeded with the current time.
func (l *LagDetector) Exceeded(applied, leaderApplied uint64) bool {
	return l.detector.exceeded(applied, leaderApplied, time.Now())
}

// AckGate exports ackGate.
type AckGate struct{ gate ackGate }

// Withhold calls withhold.
func (g *AckGate) Withhold(ackErr error) bool { return g.gate.withhold(ackErr) }

// LimitedServers returns the number of backend servers with a request limit, as this entry knows.
func (e *Entry) LimitedServers() int { return e.gateway.State().LimitedServers }

// OrderError returns the error of an order that its holder did not send or that has no outcome.
func OrderError(reply *schema.GiveOrderReply) error { return orderError(reply) }

// PathLost reports whether the entry reports that it reaches no server over its own path.
func (e *Entry) PathLost() bool { return e.paths.Unreached() }

// DescribeSuspects returns what this host suspects with more than one server against it.
func (c *Control) DescribeSuspects() string {
	var out []string
	for _, v := range c.suspects.List() {
		if len(v.GetEndedServers())-len(v.GetClearedServers()) > 1 || v.GetHeldBackForMs() > 0 {
			out = append(out, fmt.Sprint(v.GetKey()[:8], " ", v.GetScope(), " ended ", v.GetEndedServers(), " cleared ", v.GetClearedServers(), " held ", v.GetHeldBackForMs()))
		}
	}
	return strings.Join(out, "\n")
}
