package loading_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"fennelyard/internal/cooldown"
	"fennelyard/internal/incarnation"
	"fennelyard/internal/loading"
	"fennelyard/internal/schema"
)

// rejectedCall is a call that an engine rejected. The holder is empty for a query.
type rejectedCall struct {
	holder string
	at     time.Time
}

// reject returns the error of a call that its engine rejects, nil if it does not.
func (s *cluster) reject(server, holder string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rejecting == "" || incarnation.ServerOf(server) != s.rejecting {
		return nil
	}
	s.rejected = append(s.rejected, rejectedCall{holder, time.Now()})
	return errors.Newf("status 503: %w", &cooldown.Error{Wait: s.rejectWait})
}

func (s *cluster) setRejecting(engine string, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejecting, s.rejectWait = engine, wait
}

// An engine rejects orders and queries and asks for a cooldown. The leader would repeat them, through
// another order holder at last, to which the engine has said nothing.
func TestEnginesGetNoOrdersDuringTheirCooldowns(t *testing.T) {
	const wait = 3 * time.Second
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t, 1)
		s.engines["e2"].onDisk["m3"] = true
		h := newControlHosts(s)
		h.reportDemand(1)
		await(t, func() bool { return h.holder("e2").Host != "" })
		holder := h.holder("e2").Host
		s.setRejecting("e2", wait)
		for sequence := range uint64(12) {
			h.reportDemand(sequence + 2)
			time.Sleep(time.Second)
		}
		s.mu.Lock()
		rejected := s.rejected
		s.mu.Unlock()
		require.Greater(t, len(rejected), 2)
		for i := 1; i < len(rejected); i++ {
			require.GreaterOrEqual(t, rejected[i].at.Sub(rejected[i-1].at), wait)
		}
		require.Equal(t, holder, h.holder("e2").Host, "the order holder has not failed")
		s.setRejecting("", 0)
		took := await(t, func() bool { return s.isLoaded("e2", "m3") })
		require.Less(t, took, wait+2*time.Second)
		h.stop()
	})
}

// An order is not sent during a cooldown that a query was rejected with, and says how long it lasts.
func TestOrdersAndQueriesKeepTheSameCooldown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t, 1)
		engines := loading.WithCooldowns(s.client(), logr.Discard())
		s.setRejecting("e1", 10*time.Second)
		_, err := engines.FetchReport(t.Context(), "e1", "e1")
		require.Equal(t, 10*time.Second, cooldown.WaitOf(err))
		time.Sleep(4 * time.Second)
		_, err = engines.SendOrder(t.Context(), "e1", hostName(0), loading.Order{Server: "e1"})
		require.ErrorIs(t, err, loading.ErrNotSent)
		require.InDelta(t, 6, cooldown.WaitOf(err).Seconds(), 1.3)
		_, err = engines.FetchReport(t.Context(), "e2", "e2")
		require.NoError(t, err)
		require.Len(t, s.rejected, 1)
		s.setRejecting("", 0)
		time.Sleep(8 * time.Second)
		_, err = engines.FetchReport(t.Context(), "e1", "e1")
		require.NoError(t, err)
	})
}

// The only engine with a model rejects requests. The leader must load the model elsewhere, and not
// forecast to the requests that wait for it that they can be served where they were rejected.
func TestModelsOfRejectingEnginesAreLoadedElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t, 1)
		s.engines["e1"].onDisk["m3"], s.engines["e2"].onDisk["m3"] = true, true
		h := newControlHosts(s)
		h.reportDemand(1)
		await(t, func() bool { return s.isLoaded("e1", "m3") || s.isLoaded("e2", "m3") })
		rejecting, other := "e1", "e2"
		if s.isLoaded("e2", "m3") {
			rejecting, other = other, rejecting
		}
		h.reportCooling(rejecting, 1)
		time.Sleep(time.Second)
		h.reportDemand(2)
		require.Less(t, forecast(h.drivers[0], "m3"), 100*time.Millisecond, "one entry of six")
		h.reportCooling(rejecting, 3)
		time.Sleep(150 * time.Millisecond)
		h.reportDemand(3)
		require.Greater(t, forecast(h.drivers[0], "m3"), 300*time.Millisecond)
		took := await(t, func() bool { return s.isLoaded(other, "m3") })
		require.Less(t, took, 2*time.Second)
		h.reportCooling(rejecting, 0)
		h.stop()
	})
}

// reportCooling reports from a control host with six entries how many of them an engine has asked
// for a cooldown.
func (h *controlHosts) reportCooling(engine string, entries uint32) {
	const stream = 1
	host := &schema.ControlHost{Address: hostName(1)}
	h.rosters[0].HostConnected(stream, host)
	report := &schema.HostNews{EntriesTold: true, LoadsTold: true}
	for i := range 6 {
		report.Entries = append(report.Entries, &schema.AttendingEntry{Entry: &schema.RosterEntry{Host: fmt.Sprint("entry-", i)}})
	}
	if entries > 0 {
		report.Loads = []*schema.EngineLoad{{Server: h.cluster.engines[engine].key(), Cooling: entries}}
	}
	h.rosters[0].ApplyHostReport(stream, hostName(1), h.term, report)
}
