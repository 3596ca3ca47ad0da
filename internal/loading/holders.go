package loading

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"fennelyard/internal/asynclog"
)

// miss notes the answer to an order: those in a row that brought none are
// counted.
func (e *engine) miss(o Outcome, err error, now time.Time) {
	if o != OutcomeUnknown {
		e.missed = 0
		return
	}
	if e.missed++; e.missed == 1 {
		e.missedFrom = now
	}
	e.unheld = errors.Is(err, ErrNotSent) || errors.Is(err, ErrNoHolderReply)
}

// lost reports whether an engine's holder seems to be gone, or cut off from it.
func (e *engine) lost(now time.Time) bool {
	tries, patience := engineTries, enginePatience
	if e.unheld {
		tries, patience = holderTries, holderPatience
	}
	return e.missed >= tries && now.Sub(e.missedFrom) > patience && e.phase != phaseGiving
}

// recordWait bounds the recording of holders; it takes a commit of the group.
const recordWait = time.Second

// recall takes an engine's holder from the log. Where the holder has changed a
// short while ago nobody knows when, and the lease begins with this leadership, or with
// the change where this leader made it: to an earlier start of the engine's server.
func (d *Driver) recall(e *engine) {
	e.holder = d.cfg.Holders.Get(e.server)
	if e.holder.Host == "" || e.holder.Settled {
		return
	}
	e.ordersFrom = d.since.Add(d.cfg.OrderLease + leaseMargin)
	if from := d.leases[e.server]; from.After(e.ordersFrom) {
		e.ordersFrom = from
	}
}

// assign records order holders: for engines that have none, in place of those
// that are lost, and that a lease is over.
func (d *Driver) assign(now time.Time) {
	if d.assigning {
		return
	}
	next := d.choose(now)
	if len(next) == 0 {
		return
	}
	d.assigning = true
	forgotten := d.forgotten(now)
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		ctx, cancel := context.WithTimeout(context.Background(), recordWait)
		defer cancel()
		err := d.cfg.Holders.Record(ctx, next, forgotten)
		d.assigned(next, err)
		d.wake()
	}()
}

// choose returns the holders to record, by server. It spreads engines over the hosts, each to
// the one with the fewest, and never gives one back to the holder that it lost.
func (d *Driver) choose(now time.Time) map[string]HolderChange {
	next := map[string]HolderChange{}
	var due []*engine
	load := map[string]int{}
	for _, e := range d.engines {
		load[e.holder.Host]++
		switch {
		case d.pools[e.pool] == nil:
		case e.holder.Host == "" || e.lost(now):
			due = append(due, e)
		case !e.holder.Settled && now.After(e.ordersFrom):
			next[e.server] = HolderChange{From: e.holder.Host, To: Holder{Host: e.holder.Host, Settled: true}}
		}
	}
	if len(due) == 0 {
		return next
	}
	slices.SortFunc(due, func(a, b *engine) int { return cmp.Compare(a.id, b.id) })
	hosts := d.cfg.Holders.Hosts()
	for _, e := range due {
		if host := fewest(hosts, e.holder.Host, load); host != "" {
			next[e.server] = HolderChange{From: e.holder.Host, To: Holder{Host: host, Settled: e.holder.Host == ""}}
			load[host]++
		}
	}
	return next
}

func fewest(hosts []string, but string, load map[string]int) string {
	best := ""
	for _, h := range hosts {
		if h != but && (best == "" || load[h] < load[best]) {
			best = h
		}
	}
	return best
}

// forgotten returns recorded engines of which a leader of long standing has not
// heard.
func (d *Driver) forgotten(now time.Time) []string {
	if now.Sub(d.since) < forgetHolders {
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

// assigned takes the outcome of a recording in. Where it is not known nothing
// changes: the old holder goes on, or refuses by what it has applied, and the
// recording is tried again.
func (d *Driver) assigned(changes map[string]HolderChange, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.assigning = false
	now := d.cfg.Now()
	d.cfg.Log.Info("order holders recorded", "engines", len(changes), "error", asynclog.ErrorText(err))
	if err != nil {
		return
	}
	for _, e := range d.engines {
		if c, changed := changes[e.server]; changed {
			d.hold(e, c, now)
		}
	}
}

// hold goes on with the holder that is recorded, after a lease unless the change
// is this leader's own and there was none before.
func (d *Driver) hold(e *engine, c HolderChange, now time.Time) {
	recorded := d.cfg.Holders.Get(e.server)
	if recorded != c.To || !c.To.Settled {
		// What the old holder sent last may still arrive for leaseMargin.
		e.ordersFrom = now.Add(d.cfg.OrderLease + leaseMargin)
		d.leases[e.server] = e.ordersFrom
		d.cfg.Log.Info("order holder replaced", "server", e.id, "from", c.From, "to", recorded.Host, "meant", c.To.Host,
			"missed", e.missed, "orders-from-ms", (d.cfg.OrderLease + leaseMargin).Milliseconds())
	}
	if e.holder.Host != recorded.Host {
		e.missed = 0
	}
	e.holder = recorded
}
