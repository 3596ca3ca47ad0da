package roster

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Progress is how far a control host and all entries that attend it have been told of what
// the leader knows.
type Progress struct {
	// Change is the roster's change number, Revision the ledger's.
	Change, Revision uint64
}

// lacks reports whether somebody has not been told so far.
func (t Progress) lacks(far Progress) bool { return t.Change < far.Change || t.Revision < far.Revision }

// toldCheck is how often AwaitTold looks: servers leave a few times a minute, and
// configurations change twice a second at most.
const toldCheck = 5 * time.Millisecond

// AwaitAcked waits until every control host that speaks, and every entry that attends it
// and speaks, has been told so far.
func (r *Roster) AwaitAcked(ctx context.Context, far Progress) error {
	ticker := time.NewTicker(toldCheck)
	defer ticker.Stop()
	for {
		behind := r.behind(far)
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

// RequestAcks notes that somebody will wait until the entries have been told of a change that
// is about to be made, until the function returned is called.
func (r *Roster) RequestAcks() func() {
	r.expect(1)
	return func() { r.expect(-1) }
}

func (r *Roster) expect(by int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.awaited += by
}

// behind names the hosts that speak and have not been told so far, each with entries of
// its own that hold it back.
func (r *Roster) behind(far Progress) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for address, f := range r.hosts {
		if !f.silent && !f.lagging && f.told.lacks(far) {
			out = append(out, strings.Join(append([]string{address}, f.behind...), " "))
		}
	}
	slices.Sort(out)
	return out
}
