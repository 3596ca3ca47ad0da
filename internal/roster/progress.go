package roster

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Progress is how far a control host and all entries subscribed to it have acknowledged the
// leader's updates.
type Progress struct {
	// Change is the roster's change number, Revision the ledger's revision.
	Change, Revision uint64
}

// before reports whether p is behind the target in either number.
func (p Progress) before(target Progress) bool {
	return p.Change < target.Change || p.Revision < target.Revision
}

// ackPollInterval is how often AwaitAcked checks. Servers leave a few times a minute, and
// configurations change twice a second at most.
const ackPollInterval = 5 * time.Millisecond

// Acks describes for whom an acknowledgement waited.
type Acks struct {
	// Hosts are the control hosts that have acknowledged the change, and Entries is the number of
	// entries that they speak for.
	Hosts   []string
	Entries int
	// NotAwaited are the hosts that were not waited for, each with the reason.
	NotAwaited []string
	// TermAge is for how long this host has led.
	TermAge time.Duration
}

// AwaitAcked waits until every control host, with every entry subscribed to it, has acknowledged
// a target. Those that are not heard, or get no updates, are waited for until their leases have
// ended. If ctx ends first, the error names those that have not.
func (r *Roster) AwaitAcked(ctx context.Context, target Progress) (Acks, error) {
	ticker := time.NewTicker(ackPollInterval)
	defer ticker.Stop()
	for {
		behind := r.behind(target)
		if len(behind) == 0 {
			return r.acks(target), nil
		}
		select {
		case <-ctx.Done():
			return r.acks(target), errors.Newf("not told: %s: %w", strings.Join(behind, "; "), ctx.Err())
		case <-ticker.C:
		}
	}
}

// acks returns who has acknowledged a target, and who is not waited for.
func (r *Roster) acks(target Progress) Acks {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := Acks{TermAge: r.cfg.Now().Sub(r.termStart)}
	for address, h := range r.hosts {
		silentMs := r.cfg.Now().Sub(h.lastReceived).Milliseconds()
		switch {
		case h.silent:
			out.NotAwaited = append(out.NotAwaited, fmt.Sprintf("%s silent for %d ms", address, silentMs))
		case h.lagging:
			out.NotAwaited = append(out.NotAwaited, fmt.Sprintf("%s lagging", address))
		case !h.progress.before(target):
			out.Hosts = append(out.Hosts, address)
			out.Entries += len(h.entries)
		}
	}
	slices.Sort(out.Hosts)
	slices.Sort(out.NotAwaited)
	return out
}

// RequestAcks asks for acknowledgements of a change that is about to be made, until the
// returned function is called.
func (r *Roster) RequestAcks() func() {
	r.addAckWaiters(1)
	return func() { r.addAckWaiters(-1) }
}

func (r *Roster) addAckWaiters(by int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ackWaiters += by
}

// behind returns the hosts that are behind a target, each followed by the entries that hold it
// back, and the absent entries that are.
func (r *Roster) behind(target Progress) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.absentBehind(target)
	for address, h := range r.hosts {
		if !h.progress.before(target) {
			continue
		}
		if !h.silent && !h.lagging {
			out = append(out, strings.Join(append([]string{address}, h.behindEntries...), " "))
			continue
		}
		limit, _ := target.absenceLimits(h)
		if left := h.absentSince().Add(limit).Sub(r.cfg.Now()); left > 0 {
			out = append(out, fmt.Sprintf("%s absent, for %d ms", address, left.Milliseconds()))
		}
	}
	slices.Sort(out)
	return out
}
