package roster

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"fennelyard/internal/schema"
)

// entrySilence is how long an entry may say nothing before callers are no
// longer sent to it. Entries speak every 300 ms; a frozen one says nothing while
// its connections stay open.
const entrySilence = 1200 * time.Millisecond

// loadsKeep is for how long the sum of the entries' loads is told before it is
// worked out anew: it is told to each of them three times a second.
const loadsKeep = 100 * time.Millisecond

// attendance is one entry's stream to the leader.
type attendance struct {
	entry    *schema.RosterEntry
	stopping bool
	heard    time.Time
	// stream tells an entry's newer stream from an older one that ends late.
	stream uint64
	silent bool
	// loads is what the entry has at the engines.
	loads []*schema.EngineLoad
	// told is how far the entry has been told, by its own word.
	told Told
}

// Told is how far an entry has been told of what the leader knows.
type Told struct {
	// Change is the roster's change number, Revision the ledger's.
	Change, Revision uint64
}

// lacks reports whether an entry has not been told so far.
func (t Told) lacks(far Told) bool { return t.Change < far.Change || t.Revision < far.Revision }

// Attend notes that an entry speaks on a stream; stream numbers grow.
func (r *Roster) Attend(stream uint64, e *schema.RosterEntry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.entries[e.GetHost()]
	if old != nil {
		r.count(old.loads, -1)
	}
	r.entries[e.GetHost()] = &attendance{entry: e, heard: r.cfg.Now(), stream: stream}
	if old == nil || old.silent || old.stopping || old.entry.GetCallerAddress() != e.GetCallerAddress() {
		r.cfg.Log.Info("entry attends", "entry", e.GetHost(), "address", e.GetCallerAddress())
		r.entriesChange = r.touch()
	}
}

// Hear notes that an entry spoke, and whether it prepares to stop.
func (r *Roster) Hear(stream uint64, host string, stopping bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.entries[host]
	if a == nil || a.stream != stream {
		return
	}
	a.heard = r.cfg.Now()
	if a.stopping != stopping || a.silent {
		a.stopping, a.silent = stopping, false
		r.cfg.Log.Info("entry state", "entry", host, "stopping", stopping, "silent", false)
		r.entriesChange = r.touch()
	}
}

// Load notes what an entry has at the engines.
func (r *Roster) Load(stream uint64, host string, loads []*schema.EngineLoad) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a := r.entries[host]; a != nil && a.stream == stream {
		r.count(a.loads, -1)
		r.count(loads, 1)
		a.loads = loads
	}
}

// Runs reports whether any entry has requests for a model at an engine.
func (r *Roster) Runs(server, model string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[run{server, model}] > 0
}

// Told notes how far an entry says that it was told.
func (r *Roster) Told(stream uint64, host string, far Told) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a := r.entries[host]; a != nil && a.stream == stream {
		a.told = far
	}
}

// toldCheck is how often AwaitTold looks: servers leave a few times a minute, and
// configurations change twice a second at most.
const toldCheck = 5 * time.Millisecond

// AwaitTold waits until every entry that speaks has been told so far.
func (r *Roster) AwaitTold(ctx context.Context, far Told) error {
	ticker := time.NewTicker(toldCheck)
	defer ticker.Stop()
	for {
		behind := r.behind(far)
		if behind == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Newf("%d entries have not been told: %w", behind, ctx.Err())
		case <-ticker.C:
		}
	}
}

// Expect notes that somebody will wait until the entries have been told of a change that
// is about to be made, until the function returned is called.
func (r *Roster) Expect() func() {
	r.expect(1)
	return func() { r.expect(-1) }
}

func (r *Roster) expect(by int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.awaited += by
}

// Awaited reports whether anybody waits until the entries have been told.
func (r *Roster) Awaited() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.awaited > 0
}

// behind counts the entries that speak and have not been told so far.
func (r *Roster) behind(far Told) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, a := range r.entries {
		if !a.silent && a.told.lacks(far) {
			n++
		}
	}
	return n
}

// run names a model at an engine.
type run struct{ server, model string }

// count adds what an entry has at the engines, or takes it off.
func (r *Roster) count(loads []*schema.EngineLoad, by int) {
	for _, l := range loads {
		for _, model := range l.GetModels() {
			at := run{l.GetServer(), model}
			if r.runs[at] += by; r.runs[at] == 0 {
				delete(r.runs, at)
			}
		}
	}
}

// maxLoads bounds how many engines' loads are passed on in one word, the
// busiest: at 25 bytes each and three words a second, 5 KB/s an entry.
const maxLoads = 64

// Loads returns what all entries that speak have at the engines, as of a moment
// ago.
func (r *Roster) Loads() *schema.EngineLoads {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := r.cfg.Now(); r.loads == nil || now.Sub(r.loadsAt) > loadsKeep {
		r.loads, r.loadsAt = r.sumLoads(), now
	}
	return r.loads
}

func (r *Roster) sumLoads() *schema.EngineLoads {
	sums := map[string]*schema.EngineLoad{}
	for _, a := range r.entries {
		if a.silent {
			continue
		}
		for _, l := range a.loads {
			s := sums[l.GetServer()]
			if s == nil {
				s = &schema.EngineLoad{Server: l.GetServer()}
				sums[l.GetServer()] = s
			}
			s.Running += l.GetRunning()
			s.Unread += l.GetUnread()
		}
	}
	out := &schema.EngineLoads{Loads: slices.Collect(maps.Values(sums))}
	slices.SortFunc(out.Loads, func(a, b *schema.EngineLoad) int {
		return cmp.Or(cmp.Compare(b.GetUnread(), a.GetUnread()), cmp.Compare(b.GetRunning(), a.GetRunning()),
			cmp.Compare(a.GetServer(), b.GetServer()))
	})
	out.Loads = out.Loads[:min(len(out.Loads), maxLoads)]
	return out
}

// EntryCount returns the number of entries that attend.
func (r *Roster) EntryCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.entries)
}

// Leave notes the end of an entry's stream.
func (r *Roster) Leave(stream uint64, host string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a := r.entries[host]; a != nil && a.stream == stream {
		r.count(a.loads, -1)
		delete(r.entries, host)
		r.cfg.Log.Info("entry left", "entry", host)
		r.entriesChange = r.touch()
	}
}

// SweepEntries leaves out entries that have fallen silent.
func (r *Roster) SweepEntries() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for host, a := range r.entries {
		if !a.silent && r.cfg.Now().Sub(a.heard) > entrySilence {
			a.silent = true
			// What it had there is not known to have ended, but nobody says so either.
			r.count(a.loads, -1)
			a.loads = nil
			r.cfg.Log.Info("entry state", "entry", host, "stopping", a.stopping, "silent", true)
			r.entriesChange = r.touch()
		}
	}
}

// Entries returns the entries that callers may be sent to if the list changed
// after a change number, else nil.
func (r *Roster) Entries(after uint64) *schema.EntryList {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.entriesChange <= after {
		return nil
	}
	list := &schema.EntryList{}
	for _, a := range r.entries {
		if !a.stopping && !a.silent {
			list.Entries = append(list.Entries, a.entry)
		}
	}
	slices.SortFunc(list.Entries, func(a, b *schema.RosterEntry) int { return cmp.Compare(a.GetHost(), b.GetHost()) })
	return list
}
