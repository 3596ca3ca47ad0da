package loading

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"fennelyard/internal/asynclog"
	"fennelyard/internal/cooldown"
	"fennelyard/internal/incarnation"
	"fennelyard/internal/schema"
)

// startOrder starts an action by sending its order.
func (d *Driver) startOrder(e *engine, a Action, now time.Time) {
	if e == nil || e.phase != phaseKnown {
		return
	}
	e.order, e.orderedAt, e.attempts = a, now, 0
	if a.FromStore {
		e.storeConcurrency = d.storeLoadsRunning(e.pool) + 1
	}
	e.phase = phaseUnconfirmed
	d.publish(e)
	d.sendOrder(e, now)
}

// sendOrder sends the order in progress, for the first time or again.
func (d *Driver) sendOrder(e *engine, now time.Time) {
	e.phase = phaseSending
	e.attempts++
	d.orderCount++
	o := Order{
		Server: e.id, Load: e.order.Load, Model: e.order.Model, Adapter: e.order.Adapter, OrdersTaken: e.ordersTaken,
		Token: d.term<<orderCountBits | d.orderCount,
	}
	if e.order.FromStore {
		d.storeLoadStarts[e.pool] = append(d.storeLoadStarts[e.pool], now)
	}
	address, holder, term := e.address, e.holder.Host, d.term
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		// The order holder queries the leader first, then the engine.
		ctx, cancel := context.WithTimeout(context.Background(), confirmationTimeout+orderTimeout)
		defer cancel()
		outcome, err := d.cfg.Holders.SendOrder(ctx, holder, term, address, o)
		d.handleReply(e, o, outcome, err)
		d.wake()
	}()
}

// retryDelayAfter returns the delay before an order without a reply is sent again after a
// number of attempts.
func retryDelayAfter(attempts int) time.Duration {
	doublings := max(attempts-attemptsBeforeBackoff+attemptsPerDoubling-1, 0) / attemptsPerDoubling
	return min(retryDelay<<min(doublings, attemptsBeforeBackoff), maxRetryDelay)
}

// orderCountBits is the number of low bits of a fencing token that count a leader's orders. The
// term is above them, so that tokens grow across leaders.
const orderCountBits = 24

// handleReply applies an engine's reply to an order.
func (d *Driver) handleReply(e *engine, o Order, outcome Outcome, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.cfg.Now()
	d.cfg.Log.Info("order given", "server", o.Server, "load", o.Load, "model", o.Model, "adapter", o.Adapter,
		"taken", o.OrdersTaken, "token", o.Token, "holder", e.holder.Host, "from-store", e.order.FromStore,
		"reason", e.order.Reason.String(), "outcome", outcome.String(), "error", asynclog.ErrorText(err))
	if d.cfg.ObserveOrder != nil {
		d.cfg.ObserveOrder(outcome, o.Load, o.Adapter != "")
	}
	if d.engines[e.id] != e {
		return
	}
	if wait := cooldown.WaitOf(err); wait > 0 {
		d.handleCooldown(e, wait, now, err)
		return
	}
	e.recordReply(outcome, err, now)
	switch outcome {
	case OutcomeTaken:
		d.handleOrderTaken(e, now)
	case OutcomeAlreadyDone:
		if !o.Load && o.Adapter != "" {
			// Unloading an adapter is immediate and counts as an order taken.
			e.ordersTaken++
		}
		d.finishOrder(e, now)
	case OutcomeConflict, OutcomeRefused:
		// The engine's state differs from the known one; reports lag behind it.
		e.phase, e.notBefore = phaseUnknown, now.Add(maxReportLag)
	case OutcomeOtherIncarnation:
		d.retainLateLoads(e, now)
		d.removeEngine(e)
	case OutcomeUnknown:
		e.notBefore = now.Add(retryDelayAfter(e.attempts))
		e.phase = phaseUnconfirmed
		if !errors.Is(err, ErrNotSent) {
			e.recordUnconfirmed(now)
		} else if e.attempts == 1 {
			e.phase = phaseKnown
		}
	}
	d.publish(e)
}

// handleCooldown applies an engine's statement that it takes no orders for some time. It is no sign
// of a failure of the order holder: another one would send the engine what it does not want.
func (d *Driver) handleCooldown(e *engine, wait time.Duration, now time.Time, err error) {
	e.notBefore = now.Add(wait)
	e.phase = phaseUnconfirmed
	if !errors.Is(err, ErrNotSent) {
		e.recordUnconfirmed(now)
	} else if e.attempts == 1 {
		e.phase = phaseKnown
	}
	d.publish(e)
}

func (d *Driver) handleOrderTaken(e *engine, now time.Time) {
	e.ordersTaken++
	e.changedAt = now
	e.phase = phaseExecuting
	switch {
	case e.order.Adapter != "" && e.order.Load:
		e.dueAt = now.Add(adapterLoadTime)
		d.wg.Add(1)
		go func() {
			defer d.wg.Done()
			time.Sleep(adapterLoadTime)
			d.wake()
		}()
	case e.order.Adapter != "":
		d.finishOrder(e, now)
	case e.order.Load:
		e.dueAt = now.Add(d.loadTime(e) + completionGrace)
	default:
		e.dueAt = now.Add(completionGrace)
	}
}

func (d *Driver) loadTime(e *engine) time.Duration { return d.loadTimeOf(e, e.order.Model) }

func (d *Driver) loadTimeOf(e *engine, model string) time.Duration {
	if m := d.modelOf(e, model); m != nil {
		return m.loadTime(e.inMemory, e.onDisk)
	}
	return 0
}

// modelOf returns a model of an engine's pool, or nil.
func (d *Driver) modelOf(e *engine, model string) *Model {
	if p := d.pools[e.pool]; p != nil {
		return p.models[model]
	}
	return nil
}

// requestReport queries an engine for a report. If all query slots are in use it does nothing
// and a later round tries again.
func (d *Driver) requestReport(e *engine, now time.Time) {
	select {
	case d.querySlots <- struct{}{}:
	default:
		return
	}
	e.notBefore = now.Add(retryDelay)
	address, phase, taken := e.address, e.phase, e.ordersTaken
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		defer d.releaseQuerySlot(time.Now())
		ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
		defer cancel()
		r, err := d.fetchReport(ctx, address, e.id)
		d.handleReport(e, phase, taken, now, r, err)
		d.wake()
	}()
}

// releaseQuerySlot releases the slot of a query that began at since, querySlotTime after that.
func (d *Driver) releaseQuerySlot(since time.Time) {
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		select {
		case <-time.After(querySlotTime - time.Since(since)):
		case <-d.stop:
		}
		<-d.querySlots
	}()
}

// errOtherIncarnation means that another incarnation of the server sent the report.
var errOtherIncarnation = errors.New("report from another incarnation of the server")

// fetchReport queries an engine for a report. A report of another incarnation is an error; the
// announcement of that one arrives within a moment.
func (d *Driver) fetchReport(ctx context.Context, address, id string) (Report, error) {
	r, err := d.cfg.FetchReport(ctx, address, id)
	if err != nil {
		return Report{}, err
	}
	if startMs := incarnation.Parse(id).StartMs; startMs != 0 && r.StartMs != 0 && r.StartMs != startMs {
		return Report{}, errors.Newf("incarnation started at %d ms: %w", r.StartMs, errOtherIncarnation)
	}
	return r, nil
}

// modelNames returns the names of models and adapters for a log line.
func modelNames(models []*schema.HeldModel) []string {
	var out []string
	for _, m := range models {
		out = append(out, m.GetName())
		for _, a := range m.GetAdapters() {
			out = append(out, m.GetName()+"/"+a)
		}
	}
	return out
}

// handleReport applies a report unless the engine's state has changed since the query. queried
// and taken are the phase and the number of orders taken when it was sent.
func (d *Driver) handleReport(e *engine, queried phase, taken uint64, queriedAt time.Time, r Report, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		d.cfg.Log.Info("no report", "server", e.id, "error", err.Error())
		if wait := cooldown.WaitOf(err); wait > 0 && d.engines[e.id] == e {
			e.notBefore = d.cfg.Now().Add(wait)
		}
		return
	}
	if d.engines[e.id] != e || e.phase != queried || e.ordersTaken != taken || queriedAt.Sub(e.changedAt) < maxReportLag {
		return
	}
	now := d.cfg.Now()
	d.cfg.Log.Info("report", "server", e.id, "taken", r.OrdersTaken, "busy", r.Busy, "held", modelNames(r.Loaded))
	if r.Busy {
		return
	}
	if queried == phaseExecuting && d.showsOrderDone(e, r.Loaded) {
		d.finishOrder(e, now)
	} else if queried == phaseExecuting {
		d.cfg.Log.Info("order not carried out", "server", e.id, "load", e.order.Load, "model", e.order.Model, "taken", r.OrdersTaken)
	}
	e.ordersTaken = r.OrdersTaken
	e.setLoaded(r.Loaded, now)
	e.phase = phaseKnown
	d.publish(e)
}
