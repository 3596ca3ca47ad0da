package role

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/go-logr/logr"

	"fennelyard/internal/ledger"
	"fennelyard/internal/roster"
	"fennelyard/internal/schema"
)

// RecordDeparture commits a departure as a call does whose caller is gone by
// then: the roster is not told.
func (c *Control) RecordDeparture(id string) error {
	return c.commit(context.Background(), &schema.Command{Body: &schema.Command_DepartServer{
		DepartServer: &schema.DepartServer{Server: id},
	}})
}

// Voters returns the number of voters if this host leads.
func (c *Control) Voters() (n int, leads bool) {
	s := c.group.Status()
	for _, m := range s.Membership.GetMembers() {
		if !m.GetLearner() {
			n++
		}
	}
	return n, s.CommittedInTerm
}

// Votes reports whether this host is a voter, as far as it knows.
func (c *Control) Votes() bool {
	s := c.group.Status()
	for _, m := range s.Membership.GetMembers() {
		if m.GetId() == s.ID {
			return !m.GetLearner()
		}
	}
	return false
}

// Attending is the pace of one entry's stream, where the roster hears engine i-1.
type Attending struct {
	p     pace
	r     *roster.Roster
	known uint64
}

// NewAttending returns a stream, of as many as entries attend.
func NewAttending(entries int) (*Attending, *roster.Roster) {
	r := roster.New(roster.Config{
		AnnounceEvery: time.Second, Departed: func(string) bool { return false }, Now: time.Now, Log: logr.Discard(),
	})
	r.Announce(roster.Announcement{ID: "i-1", Pool: "llm", Address: "e:1", Sequence: 1})
	a := &Attending{r: r}
	a.p = pace{
		beat: beat, gather: func() time.Duration { return gatherFor(entries) }, log: never, roster: r.Changed, held: never, answered: never, answers: always,
		brings:  func(wants []*schema.ModelDemand) bool { return r.HasTargetSince(a.known, wants) },
		waiting: make(chan question, 1),
	}
	a.p.start()
	return a, r
}

// Wait notes what callers of the entry wait for.
func (a *Attending) Wait(d *schema.ModelDemand) { a.p.hear([]*schema.ModelDemand{d}) }

// Rest returns when a word to the entry is due, of all changes so far.
func (a *Attending) Rest(ctx context.Context) bool {
	a.p.watch()
	_, a.known = a.r.ServersSince(a.known)
	a.p.asked = false
	return a.p.rest(ctx)
}

// ChangesSince returns what an entry at a revision lacks, as the leader encodes it for
// the first time.
func ChangesSince(l *ledger.Ledger, after uint64) ([]byte, uint64) {
	return (&encodedChanges{}).since(l, after)
}

// Members tells the membership as this host knows it.
func (c *Control) Members() string {
	s := c.group.Status()
	return fmt.Sprint(s.Role, " of term ", s.Term, " knows ", s.Membership.GetMembers())
}

// Version returns the version of the configuration in force at this entry.
func (e *Entry) Version() uint64 { return uint64(e.gateway.State().Version) }

// KeyHolds reports whether this entry takes requests with an API key.
func (e *Entry) KeyHolds(key string) bool { return e.gateway.AcceptsKey(key) }

// Callers serves callers' requests at this entry.
func (e *Entry) Callers() http.Handler { return e.gateway }

// Attends returns the IP address of the control host that tells this entry what the leader
// says, "": none.
func (e *Entry) Attends() string {
	host := e.gateway.State().ControlHost
	if host == "" {
		return ""
	}
	return ipOf(host)
}

// Servers returns how many backend servers this entry knows.
func (e *Entry) Servers() int { return e.gateway.State().Servers }

// ReadyServers returns how many of them take new work.
func (e *Entry) ReadyServers() int { return e.gateway.State().Ready }

// Lag tells whether a control host's log lags.
type Lag struct{ l lag }

// Holds reports whether a host lags that has applied so much of the log, and the leader
// so much.
func (l *Lag) Holds(applied, leaders uint64) bool { return l.l.holds(applied, leaders, time.Now()) }

// Withheld is what tells whether acknowledgements of configurations are withheld.
type Withheld struct{ w withheld }

// Hold notes whether entries are behind.
func (w *Withheld) Hold(untold error) bool { return w.w.hold(untold) }
