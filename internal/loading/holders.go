package loading

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"fennelyard/internal/asynclog"
)

// recordReply counts consecutive orders without a reply.
func (e *engine) recordReply(o Outcome, err error, now time.Time) {
	if o != OutcomeUnknown {
		e.missedReplies = 0
		return
	}
	if e.missedReplies++; e.missedReplies == 1 {
		e.missedRepliesSince = now
	}
	e.failedAtHolder = errors.Is(err, ErrNotSent) || errors.Is(err, ErrNoHolderReply)
}

// holderFailed reports whether an engine's order holder seems to be gone, or cut off from the
// engine.
func (e *engine) holderFailed(now time.Time) bool {
	attempts, timeout := engineFailureAttempts, engineFailureTimeout
	if e.failedAtHolder {
		attempts, timeout = holderFailureAttempts, holderFailureTimeout
	}
	return e.missedReplies >= attempts && now.Sub(e.missedRepliesSince) > timeout && e.phase != phaseSending
}

// recordTimeout bounds the recording of holders, which takes a commit of the group.
const recordTimeout = time.Second

// loadHolder reads an engine's order holder from the log. The time of a recent change of holder
// is not recorded, so its lease begins with this leadership, or with the change if this leader
// made it for an earlier incarnation of the server.
func (d *Driver) loadHolder(e *engine) {
	e.holder = d.cfg.Holders.Get(e.server)
	if e.holder.Host == "" || e.holder.Settled {
		return
	}
	e.ordersAllowedFrom = d.leaderSince.Add(d.cfg.OrderLease + leaseMargin)
	if from := d.ordersAllowedFrom[e.server]; from.After(e.ordersAllowedFrom) {
		e.ordersAllowedFrom = from
	}
}

// assignHolders records order holders: for engines without one, in place of failed ones, and as
// settled once the lease of the previous one is over.
func (d *Driver) assignHolders(now time.Time) {
	if d.recordingHolders {
		return
	}
	next := d.chooseHolders(now)
	if len(next) == 0 {
		return
	}
	d.recordingHolders = true
	stale := d.staleServers(now)
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
		defer cancel()
		err := d.cfg.Holders.Record(ctx, next, stale)
		d.handleRecorded(next, err)
		d.wake()
	}()
}

// chooseHolders returns the holder changes to record, by server. It spreads engines over the
// hosts, each to the one with the fewest, and never reassigns one to the holder that failed.
func (d *Driver) chooseHolders(now time.Time) map[string]HolderChange {
	next := map[string]HolderChange{}
	var due []*engine
	engineCount := map[string]int{}
	for _, e := range d.engines {
		engineCount[e.holder.Host]++
		switch {
		case d.pools[e.pool] == nil:
		case e.holder.Host == "" || e.holderFailed(now):
			due = append(due, e)
		case !e.holder.Settled && now.After(e.ordersAllowedFrom):
			next[e.server] = HolderChange{From: e.holder.Host, To: Holder{Host: e.holder.Host, Settled: true}}
		}
	}
	if len(due) == 0 {
		return next
	}
	slices.SortFunc(due, func(a, b *engine) int { return cmp.Compare(a.id, b.id) })
	hosts := d.cfg.Holders.Hosts()
	for _, e := range due {
		if host := leastLoaded(hosts, e.holder.Host, engineCount); host != "" {
			next[e.server] = HolderChange{From: e.holder.Host, To: Holder{Host: host, Settled: e.holder.Host == ""}}
			engineCount[host]++
		}
	}
	return next
}

func leastLoaded(hosts []string, except string, engineCount map[string]int) string {
	best := ""
	for _, h := range hosts {
		if h != except && (best == "" || engineCount[h] < engineCount[best]) {
			best = h
		}
	}
	return best
}

// staleServers returns the servers with a recorded order holder that are unknown to a leader
// that has led for holderRetention.
func (d *Driver) staleServers(now time.Time) []string {
	if now.Sub(d.leaderSince) < holderRetention {
		return nil
	}
	var out []string
	known := map[string]bool{}
	for _, e := range d.engines {
		known[e.server] = true
	}
	for _, server := range d.cfg.Holders.Servers() {
		if !known[server] {
			out = append(out, server)
		}
	}
	slices.Sort(out)
	return out
}

// handleRecorded applies the outcome of a recording. After an error nothing changes: the old
// holder continues, or refuses by what it has applied, and the recording is tried again.
func (d *Driver) handleRecorded(changes map[string]HolderChange, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordingHolders = false
	now := d.cfg.Now()
	d.cfg.Log.Info("order holders recorded", "engines", len(changes), "error", asynclog.ErrorText(err))
	if err != nil {
		return
	}
	for _, e := range d.engines {
		if c, changed := changes[e.server]; changed {
			d.applyHolder(e, c, now)
		}
	}
}

// applyHolder adopts the recorded holder of an engine: after a lease, unless this leader made
// the change and there was no holder before.
func (d *Driver) applyHolder(e *engine, c HolderChange, now time.Time) {
	recorded := d.cfg.Holders.Get(e.server)
	if recorded != c.To || !c.To.Settled {
		// The last order of the old holder may still arrive within leaseMargin.
		e.ordersAllowedFrom = now.Add(d.cfg.OrderLease + leaseMargin)
		d.ordersAllowedFrom[e.server] = e.ordersAllowedFrom
		d.cfg.Log.Info("order holder replaced", "server", e.id, "from", c.From, "to", recorded.Host, "meant", c.To.Host,
			"missed", e.missedReplies, "orders-from-ms", (d.cfg.OrderLease + leaseMargin).Milliseconds())
	}
	if e.holder.Host != recorded.Host {
		e.missedReplies = 0
	}
	e.holder = recorded
}
