package loading

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"fennelyard/internal/asynclog"
	"fennelyard/internal/incarnation"
	"fennelyard/internal/schema"
)

// begin gives the order of an action.
func (d *Driver) begin(e *engine, a Action, now time.Time) {
	if e == nil || e.phase != phaseKnown {
		return
	}
	e.order, e.given, e.tries = a, now, 0
	if a.FromStore {
		e.atOnce = d.fromStoreNow(e.pool) + 1
	}
	e.phase = phaseUncertain
	d.publish(e)
	d.give(e, now)
}

// give sends the order under way, for the first time or again.
func (d *Driver) give(e *engine, now time.Time) {
	e.phase = phaseGiving
	e.tries++
	d.token++
	o := Order{
		Server: e.id, Load: e.order.Load, Model: e.order.Model, Adapter: e.order.Adapter, OrdersTaken: e.taken,
		FencingToken: d.term<<tokenBits | d.token,
	}
	if e.order.FromStore {
		d.begun[e.pool] = append(d.begun[e.pool], now)
	}
	address, holder, term := e.address, e.holder.Host, d.term
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		// The holder asks who leads and then the engine.
		ctx, cancel := context.WithTimeout(context.Background(), confirmWait+orderWait)
		defer cancel()
		outcome, err := d.cfg.Holders.SendOrder(ctx, holder, term, address, o)
		d.answered(e, o, outcome, err)
		d.wake()
	}()
}

// againAfter is how long after an order was given so many times without an answer it is
// given again.
func againAfter(tries int) time.Duration {
	doublings := max(tries-triesSoon+triesToDouble-1, 0) / triesToDouble
	return min(againSoon<<min(doublings, triesSoon), againLongest)
}

// tokenBits is the part of a token that counts a leader's orders; the term is
// above it, so that tokens grow over all leaders.
const tokenBits = 24

// answered takes an engine's answer to an order in.
func (d *Driver) answered(e *engine, o Order, outcome Outcome, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.cfg.Now()
	d.cfg.Log.Info("order given", "server", o.Server, "load", o.Load, "model", o.Model, "adapter", o.Adapter,
		"taken", o.OrdersTaken, "token", o.FencingToken, "holder", e.holder.Host, "from-store", e.order.FromStore,
		"reason", e.order.Reason.String(), "outcome", outcome.String(), "error", asynclog.ErrorText(err))
	if d.cfg.ObserveOrder != nil {
		d.cfg.ObserveOrder(outcome, o.Load, o.Adapter != "")
	}
	if d.engines[e.id] != e {
		return
	}
	e.miss(outcome, err, now)
	switch outcome {
	case OutcomeTaken:
		d.accepted(e, now)
	case OutcomeHolds:
		if !o.Load && o.Adapter != "" {
			// An adapter goes at once, which counts as an order that was taken.
			e.taken++
		}
		d.finish(e, now)
	case OutcomeConflict, OutcomeRefused:
		// The state differs from what was believed; reports lag behind it.
		e.phase, e.notBefore = phaseUnknown, now.Add(reportLag)
	case OutcomeOther:
		d.keepLate(e, now)
		d.remove(e)
	case OutcomeUnknown:
		e.notBefore = now.Add(againAfter(e.tries))
		e.phase = phaseUncertain
		if !errors.Is(err, ErrNotSent) {
			e.doubt(now)
		} else if e.tries == 1 {
			e.phase = phaseKnown
		}
	}
	d.publish(e)
}

func (d *Driver) accepted(e *engine, now time.Time) {
	e.taken++
	e.touched = now
	e.phase = phaseWorking
	switch {
	case e.order.Adapter != "" && e.order.Load:
		e.due = now.Add(adapterLoad)
		d.wg.Add(1)
		go func() {
			defer d.wg.Done()
			time.Sleep(adapterLoad)
			d.wake()
		}()
	case e.order.Adapter != "":
		d.finish(e, now)
	case e.order.Load:
		e.due = now.Add(d.loadTime(e) + dueSlack)
	default:
		e.due = now.Add(dueSlack)
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

// ask asks an engine for a report, unless as many are asked as may be at once: it is its
// turn in a later round then.
func (d *Driver) ask(e *engine, now time.Time) {
	select {
	case d.asking <- struct{}{}:
	default:
		return
	}
	e.notBefore = now.Add(againSoon)
	address, phase, taken := e.address, e.phase, e.taken
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		defer d.asked(time.Now())
		ctx, cancel := context.WithTimeout(context.Background(), orderWait)
		defer cancel()
		r, err := d.report(ctx, address, e.id)
		d.reported(e, phase, taken, now, r, err)
		d.wake()
	}()
}

// asked gives the place of a report back that was asked for at a moment.
func (d *Driver) asked(since time.Time) {
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		select {
		case <-time.After(askPace - time.Since(since)):
		case <-d.stop:
		}
		<-d.asking
	}()
}

// errOtherStart says that another start of the server than the one asked for reports.
var errOtherStart = errors.New("another start of the server reports")

// report asks an engine for a report. One of another start says nothing of this one,
// whose announcement tells of it within a moment.
func (d *Driver) report(ctx context.Context, address, id string) (Report, error) {
	r, err := d.cfg.FetchReport(ctx, address, id)
	if err != nil {
		return Report{}, err
	}
	if born := incarnation.Parse(id).StartMs; born != 0 && r.StartMs != 0 && r.StartMs != born {
		return Report{}, errors.Newf("start %d: %w", r.StartMs, errOtherStart)
	}
	return r, nil
}

// heldNames returns models and adapters as a log line has them.
func heldNames(held []*schema.HeldModel) []string {
	var out []string
	for _, h := range held {
		out = append(out, h.GetName())
		for _, a := range h.GetAdapters() {
			out = append(out, h.GetName()+"/"+a)
		}
	}
	return out
}

// reported takes a report in, if nothing has changed since it was asked for.
func (d *Driver) reported(e *engine, asked phase, taken uint64, at time.Time, r Report, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		d.cfg.Log.Info("no report", "server", e.id, "error", err.Error())
		return
	}
	if d.engines[e.id] != e || e.phase != asked || e.taken != taken || at.Sub(e.touched) < reportLag {
		return
	}
	now := d.cfg.Now()
	d.cfg.Log.Info("report", "server", e.id, "taken", r.OrdersTaken, "busy", r.Busy, "held", heldNames(r.Loaded))
	if r.Busy {
		return
	}
	if asked == phaseWorking && d.seenDone(e, r.Loaded) {
		d.finish(e, now)
	} else if asked == phaseWorking {
		d.cfg.Log.Info("order not carried out", "server", e.id, "load", e.order.Load, "model", e.order.Model, "taken", r.OrdersTaken)
	}
	e.taken = r.OrdersTaken
	e.learn(r.Loaded, now)
	e.phase = phaseKnown
	d.publish(e)
}
