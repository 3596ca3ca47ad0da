package role

import (
	"context"
	"fmt"
	"strconv"
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
	return n, s.Current
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

// Attending is one entry's stream at a leader that hears engine i-1.
type Attending struct {
	a      *attending
	ticker *time.Ticker
}

// NewAttending returns a stream, of as many as entries attend.
func NewAttending(entries int) (*Attending, *roster.Roster) {
	r := roster.New(roster.Config{
		AnnounceEvery: time.Second, Departed: func(string) bool { return false }, Now: time.Now, Log: logr.Discard(),
	})
	r.Announce(roster.Announcement{ID: "i-1", Pool: "llm", Address: "e:1", Sequence: 1})
	for i := range entries {
		r.Attend(uint64(i+1), &schema.RosterEntry{Host: strconv.Itoa(i)})
	}
	c := &Control{roster: r, stop: make(chan struct{})}
	return &Attending{a: &attending{c: c, waiting: make(chan []*schema.ModelDemand, 1)}, ticker: time.NewTicker(beat)}, r
}

// Wait notes what callers of the entry wait for.
func (a *Attending) Wait(d *schema.ModelDemand) { a.a.waiting <- []*schema.ModelDemand{d} }

// Rest returns when a word to the entry is due, of all changes so far.
func (a *Attending) Rest(ctx context.Context) bool {
	_, a.a.roster = a.a.c.roster.Since(a.a.roster)
	return a.a.rest(ctx, a.ticker, nil, a.a.c.roster.Changed())
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

// Withheld is what tells whether acknowledgements of configurations are withheld.
type Withheld struct{ w withheld }

// Hold notes whether entries are behind.
func (w *Withheld) Hold(untold error) bool { return w.w.hold(untold) }
