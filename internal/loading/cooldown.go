package loading

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"fennelyard/internal/cooldown"
)

// maxCoolingEntries is the number of entries that an engine has asked for a cooldown from which it
// counts as rejecting requests as such. In a deployment of fewer than twice as many, half of the
// entries are enough.
const maxCoolingEntries = 3

// minCoolingEntries returns the number of entries, of this many, that an engine which rejects requests
// has asked for a cooldown.
func minCoolingEntries(entries int) int { return max(min((entries+1)/2, maxCoolingEntries), 1) }

// setRejecting records how many entries an engine has asked for a cooldown.
func (d *Driver) setRejecting(e *engine, cooling, minCooling int) {
	rejecting := cooling >= minCooling
	if e.rejecting == rejecting {
		return
	}
	e.rejecting = rejecting
	d.cfg.Log.Info("engine rejects requests", "server", e.id, "rejects", rejecting, "entries", cooling)
}

// WithCooldowns returns a client that sends an engine no order and no query during a cooldown that
// the engine has asked this host for. Such calls fail with a cooldown.Error, orders also with
// ErrNotSent.
func WithCooldowns(engines Engines, log logr.Logger) Engines {
	// Only the order holder sends an engine's orders, and only the leader queries it.
	table := cooldown.NewTable(cooldown.Config{Hosts: func() int { return 1 }, Random: rand.Float64})
	t := &throttle{table: table, log: log}
	return Engines{
		SendOrder: func(ctx context.Context, address, holder string, o Order) (outcome Outcome, err error) {
			if err := t.admit(o.Server); err != nil {
				return OutcomeUnknown, errors.Newf("withhold order: %w", errors.Join(err, ErrNotSent))
			}
			sentAt := time.Now()
			outcome, err = engines.SendOrder(ctx, address, holder, o)
			t.observe(o.Server, err, sentAt)
			return outcome, err
		},
		FetchReport: func(ctx context.Context, address, server string) (r Report, err error) {
			if err := t.admit(server); err != nil {
				return Report{}, errors.Newf("withhold query: %w", err)
			}
			sentAt := time.Now()
			r, err = engines.FetchReport(ctx, address, server)
			t.observe(server, err, sentAt)
			return r, err
		},
	}
}

// throttle keeps the cooldowns that engines have asked a host for.
type throttle struct {
	table *cooldown.Table
	log   logr.Logger
}

// admit returns a cooldown.Error if an engine must get no call now.
func (t *throttle) admit(server string) error {
	now := time.Now()
	if t.table.Admit(server, now) {
		return nil
	}
	return &cooldown.Error{Wait: t.table.AvailableIn(server, now)}
}

// observe applies the wait in the error of a call that was sent at a time.
func (t *throttle) observe(server string, err error, sentAt time.Time) {
	now := time.Now()
	wait := cooldown.WaitOf(err)
	if wait == 0 {
		if err == nil {
			t.table.Responded(server, sentAt)
		}
		return
	}
	until := t.table.Observe(server, wait, sentAt, now)
	t.log.Info("server states a cooldown", "server", server, "for-ms", wait.Milliseconds(), "no-request-for-ms", until.Sub(now).Milliseconds())
}
