package roster

import (
	"context"
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

// AwaitAcked waits until every control host that is not silent or lagging, with every entry
// subscribed to it, has acknowledged a target. If ctx ends first, the error names those
// that have not.
func (r *Roster) AwaitAcked(ctx context.Context, target Progress) error {
	ticker := time.NewTicker(ackPollInterval)
	defer ticker.Stop()
	for {
		behind := r.hostsBehind(target)
		if len(behind) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Newf("not told: %s: %w", strings.Join(behind, "; "), ctx.Err())
		case <-ticker.C:
		}
	}
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

// hostsBehind returns the hosts that are not silent or lagging and are behind a target,
// each followed by the entries that hold it back.
func (r *Roster) hostsBehind(target Progress) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for address, h := range r.hosts {
		if !h.silent && !h.lagging && h.progress.before(target) {
			out = append(out, strings.Join(append([]string{address}, h.behindEntries...), " "))
		}
	}
	slices.Sort(out)
	return out
}
