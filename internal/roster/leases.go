package roster

import (
	"fmt"
	"time"

	"fennelyard/internal/schema"
)

// LeaseTime is how long an entry relies on the roster after the latest time as of which its updates were confirmed.
// A leader that hears nothing of a host or an entry waits for as long before it takes a change for known to all: they
// may be there and send requests by what they know. It outlasts an election, and a server whose departure waits for it
// is acknowledged within the four seconds that it has at least.
const LeaseTime = 2 * time.Second

// moveTime is how long the acknowledgement of a configuration waits for an entry that has lost its host: it subscribes
// to another one within a few tenths of a second. Entries without a host serve by the configuration that they have, and
// operators are answered meanwhile.
const moveTime = 500 * time.Millisecond

// absenceLimits returns for how long a change waits for a host after it was last heard or has sent its entries
// updates, and for an entry after it has lost its host.
func (p Progress) absenceLimits(h *hostState) (host, entry time.Duration) {
	switch {
	case p.Change > 0:
		return LeaseTime, LeaseTime
	case h != nil && h.lagging:
		return 0, moveTime
	}
	return hostSilenceTimeout, moveTime
}

// absentEntry is an entry that is subscribed to no host of this leader any more.
type absentEntry struct {
	// stream is the number of the stream that has ended.
	stream uint64
	// acked is what the entry had acknowledged by then at least, at since.
	acked Progress
	since time.Time
}

// trackAbsent records the entries that a host no longer lists, which had acknowledged a progress at least. An
// entry that stops keeps its stream up to its end. The caller holds mu.
func (r *Roster) trackAbsent(h *hostState, entries []*schema.AttendingEntry, acked Progress) {
	present := map[string]bool{}
	for _, e := range entries {
		present[e.GetEntry().GetHost()] = true
	}
	for _, e := range h.entries {
		if host := e.GetEntry().GetHost(); !present[host] && !e.GetStopping() {
			r.absentEntries[host] = absentEntry{stream: e.GetStream(), acked: acked, since: r.cfg.Now()}
		}
	}
}

// absentSince returns the latest time as of which updates may be confirmed that a host has sent to its entries, if
// this leader does not hear it or if it lags.
func (h *hostState) absentSince() time.Time {
	if h.silent {
		return h.lastReceived
	}
	return h.laggingSince
}

// absentBehind returns those that are absent, are behind a target and hold a lease; the caller holds mu.
func (r *Roster) absentBehind(target Progress) []string {
	now := r.cfg.Now()
	var out []string
	if target.Change > 0 && now.Before(r.termStart.Add(LeaseTime)) {
		// Configurations need not wait: the log has them, and this leader sends them to all hosts that follow it.
		out = append(out, fmt.Sprintf("entries of an earlier leader, for %d ms", r.termStart.Add(LeaseTime).Sub(now).Milliseconds()))
	}
	_, limit := target.absenceLimits(nil)
	for host, a := range r.absentEntries {
		left := a.since.Add(limit).Sub(now)
		switch {
		case now.Sub(a.since) >= LeaseTime || r.isSubscribed(host, a.stream):
			delete(r.absentEntries, host)
		case left > 0 && a.acked.before(target):
			out = append(out, fmt.Sprintf("%s absent, for %d ms", host, left.Milliseconds()))
		}
	}
	return out
}

// isSubscribed reports whether an entry is subscribed to a host that this leader hears, on a later stream than one
// that has ended; the caller holds mu.
func (r *Roster) isSubscribed(entry string, ended uint64) bool {
	for _, h := range r.hosts {
		if h.silent {
			continue
		}
		for _, e := range h.entries {
			if e.GetEntry().GetHost() == entry && e.GetStream() > ended {
				return true
			}
		}
	}
	return false
}
