package role

import (
	"context"
	"time"

	"fennelyard/internal/schema"
)

// updatePacer decides when the next update on a stream is due. It belongs to the sending
// goroutine, except for queries.
type updatePacer struct {
	// interval is the longest time between two updates, and batchDelay how long changes are
	// batched into an update that no request waits for.
	interval   time.Duration
	batchDelay func() time.Duration
	// nextLogChange and nextRosterChange return channels that are closed at the next change
	// of either, and nextForecasts one that is closed when more forecasts arrive.
	nextLogChange, nextRosterChange, nextForecasts func() <-chan struct{}
	// nextSuspectChange returns a channel that is closed when a suspect request is held
	// back or released.
	nextSuspectChange func() <-chan struct{}
	// nextPermits returns a channel that is closed when permits are granted.
	nextPermits func() <-chan struct{}
	// hasForecast reports whether there are forecasts for the targets of a query.
	hasForecast func(forecastQuery) bool
	// hasTarget reports whether a change that was not sent yet makes one of the targets
	// available.
	hasTarget func(targets []*schema.ModelDemand) bool
	// stop is closed when the host stops.
	stop <-chan struct{}
	// queries contains the peer's latest query until awaitDue receives it.
	queries chan forecastQuery

	ticker *time.Ticker
	// These channels were obtained before the last update was built.
	logChanged, rosterChanged, suspectsChanged, permitsGranted <-chan struct{}
	// query is the peer's latest query, and queryPending is set until forecasts for it are
	// sent.
	query        forecastQuery
	queryPending bool
	// urgent is set if the peer waits for the next update.
	urgent bool
	// intervalElapsed is set after each interval: the next update includes the engine
	// loads.
	intervalElapsed bool
}

// forecastQuery names the targets that requests at the peer wait for, and when it was
// received.
type forecastQuery struct {
	targets    []*schema.ModelDemand
	receivedAt time.Time
}

// start starts the ticker and marks the interval as elapsed for the first update.
func (p *updatePacer) start() {
	p.ticker = time.NewTicker(p.interval)
	p.intervalElapsed = true
}

// watchChanges is called before an update is built: later changes are due with the next
// one.
func (p *updatePacer) watchChanges() {
	p.logChanged, p.rosterChanged, p.suspectsChanged, p.permitsGranted = p.nextLogChange(), p.nextRosterChange(), p.nextSuspectChange(), p.nextPermits()
}

// setQuery sets the targets that requests at the peer wait for. It replaces a query that
// awaitDue has not received.
func (p *updatePacer) setQuery(demands []*schema.ModelDemand) {
	if len(demands) == 0 {
		return
	}
	var waiting []*schema.ModelDemand
	for _, d := range demands {
		if d.GetWaiting() > 0 {
			waiting = append(waiting, d)
		}
	}
	select {
	case <-p.queries:
	default:
	}
	p.queries <- forecastQuery{waiting, time.Now()}
}

// awaitDue waits until the next update is due: at once if there is a change or a forecast
// that requests at the peer wait for, otherwise when changes have been batched or the
// interval is over. It returns false when the stream ends.
func (p *updatePacer) awaitDue(ctx context.Context) bool {
	p.urgent = false
	batchTimer := time.NewTimer(p.batchDelay())
	defer batchTimer.Stop()
	batched, pending := false, false
	forecasts := p.forecastSignal()
	for !batched || !pending {
		select {
		case <-ctx.Done():
			return false
		case <-p.stop:
			return false
		case p.query = <-p.queries:
			p.queryPending = len(p.query.targets) > 0
			if forecasts = p.forecastSignal(); p.queryPending && p.hasForecast(p.query) {
				p.urgent = true
				return true
			}
		case <-forecasts:
			if p.hasForecast(p.query) {
				p.urgent = true
				return true
			}
			forecasts = p.forecastSignal()
		case <-p.ticker.C:
			p.intervalElapsed = true
			return true
		case <-batchTimer.C:
			batched = true
		case <-p.logChanged:
			p.logChanged, pending = nil, true
		case <-p.suspectsChanged:
			p.suspectsChanged, pending = nil, true
		case <-p.permitsGranted:
			p.permitsGranted, pending = nil, true
		case <-p.rosterChanged:
			// Without waiting requests further roster changes don't wake the stream.
			p.rosterChanged, pending = nil, true
			if len(p.query.targets) > 0 {
				p.rosterChanged = p.nextRosterChange()
				if p.hasTarget(p.query.targets) {
					p.urgent = true
					return true
				}
			}
		}
	}
	return true
}

// forecastSignal returns a channel that is closed when forecasts for a pending query may
// have arrived, or nil if no query is pending.
func (p *updatePacer) forecastSignal() <-chan struct{} {
	if !p.queryPending {
		return nil
	}
	return p.nextForecasts()
}

// batchUrgent delays an urgent update briefly: an order's end and its consequences arrive
// within a few milliseconds. The delay grows with the number of streams, so that a host
// with 36 entries whose callers all wait has CPU time for more than updates. It returns
// false when the stream ends.
func (p *updatePacer) batchUrgent(ctx context.Context) bool {
	if !p.urgent {
		return true
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(max(minBatchDelay, p.batchDelay()/urgentDelayDivisor)):
		return true
	}
}

// urgentDelayDivisor divides the batch delay for urgent updates: 22 ms with 36 entries.
const urgentDelayDivisor = 4
