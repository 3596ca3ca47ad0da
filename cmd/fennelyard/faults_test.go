package main

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"fennelyard"
)

const slowLoadFlag = "--load-time=2s"

// startFaultCluster starts four hosts, three of them with the control role, two engines
// and an application server, and configures them.
func startFaultCluster(t *testing.T, engineArgs ...string) *cluster {
	t.Helper()
	clus := newCluster(t, 4, 3)
	clus.startEngine("engine-1", engineArgs...)
	clus.startEngine("engine-2", append([]string{"--checks-fencing=false"}, engineArgs...)...)
	clus.startApplication("booking-1")
	clus.awaitServers(3)
	clus.configure(1)
	return clus
}

// awaitLoading waits until a replica of testModel is loading.
func (clus *cluster) awaitLoading() {
	clus.t.Helper()
	clus.eventually("a load", func() bool {
		for _, m := range clus.status().GetModels() {
			if m.GetName() == testModel && m.GetLoading() == 1 {
				return true
			}
		}
		return false
	})
}

// replicaCounts returns the numbers of replicas of testModel that are loaded, and that are
// loading or unloading.
func (clus *cluster) replicaCounts() (loaded, other uint32) {
	for _, m := range clus.status().GetModels() {
		if m.GetName() == testModel {
			return m.GetLoaded(), m.GetLoading() + m.GetUnloading()
		}
	}
	return 0, 0
}

// A cold request waits, the leader orders a load and is killed or frozen before the
// engine reports the load. The next leader counts the reservation, sends the same order
// again with a new fencing token, and the request is served by the one replica that was
// decided. A second replica would waste an accelerator.
func TestLeaderFailsDuringLoad(t *testing.T) {
	for _, how := range []struct {
		name string
		stop func(clus *cluster, leader string)
	}{
		{"killed", func(clus *cluster, leader string) { clus.kill(leader) }},
		{"frozen", func(clus *cluster, leader string) { clus.sendSignal(leader, syscall.SIGSTOP) }},
	} {
		t.Run(how.name, func(t *testing.T) {
			clus := startFaultCluster(t, slowLoadFlag)
			leader := clus.leader()
			clus.useOperatorOtherThan(leader)
			completed := make(chan error, 1)
			// The fourth host has no control role, so it is never the leader that is stopped.
			go func() { completed <- clus.requestCompletion(clus.client(3)) }()
			clus.awaitLoading()
			how.stop(clus, leader)
			require.NoError(t, <-completed)
			loaded, other := clus.replicaCounts()
			assert.EqualValues(t, 1, loaded+other, "one replica was decided")
			if how.name == "frozen" {
				clus.sendSignal(leader, syscall.SIGCONT)
			} else {
				clus.startHost(leader)
			}
			clus.eventually("the old leader is a voter", func() bool {
				for _, h := range clus.status().GetHosts() {
					if h.GetName() == leader && h.GetState() == "alive" && h.GetControl() == "voter" {
						return true
					}
				}
				return false
			})
			loaded, other = clus.replicaCounts()
			assert.EqualValues(t, 1, loaded+other, "the old leader decides nothing")
		})
	}
}

// The engine that loads the only replica is killed. Nothing proves that it has ended until
// its new incarnation announces itself. Then the reservation is released and the waiting
// request is served.
func TestEngineFailsDuringLoad(t *testing.T) {
	clus := newCluster(t, 3, 3)
	clus.startEngine("engine-1", slowLoadFlag)
	clus.awaitServers(1)
	clus.configure(1)
	completed := make(chan error, 1)
	go func() { completed <- clus.requestCompletion(clus.client()) }()
	clus.awaitLoading()
	clus.kill("engine-1")
	clus.startEngine("engine-1")
	require.NoError(t, <-completed)
}

// A control host loses its data folder. It restarts with a new identity, catches up as a
// learner and replaces its old identity as a voter. Immediately afterwards a second host is
// killed, and the group still commits.
func TestControlHostRejoinsAfterDiskLoss(t *testing.T) {
	clus := startFaultCluster(t)
	leader := clus.leader()
	clus.useOperatorOtherThan(leader)
	var victim, second string
	for _, h := range clus.layout.Hosts()[:3] {
		switch {
		case h.Name == leader:
		case victim == "":
			victim = h.Name
		default:
			second = h.Name
		}
	}
	clus.useOperatorOtherThan(victim)
	clus.kill(victim)
	clus.removeData(victim)
	clus.startHost(victim)
	clus.eventually("three voters, none of them with the lost disk", func() bool {
		voters := 0
		code, out, _ := runCommand("status", "--address", clus.layout.Hosts()[3].Operator)
		for _, h := range clus.status().GetHosts() {
			if h.GetControl() == "voter" || h.GetControl() == "leader" {
				voters++
			}
		}
		return code == exitOK && voters == 3 && out != "" && clus.rejoined(victim)
	})
	clus.useOperatorOtherThan(second)
	clus.kill(second)
	runs, err := clus.requestBooking(t.Context(), clus.client(3), "after-the-repair")
	require.NoError(t, err)
	assert.Equal(t, 1, runs)
}

// Bookings are sent through all entries while the leader is killed and restarted, and each
// is retried until its outcome is known. None may run twice. The server counts the runs,
// because a client that gives up early would not observe a second one.
func TestBookingsRunOnceWhileHostsFail(t *testing.T) {
	clus := startFaultCluster(t)
	leader := clus.leader()
	clus.useOperatorOtherThan(leader)
	ctx, cancel := context.WithTimeout(t.Context(), waitLimit)
	defer cancel()
	var wg sync.WaitGroup
	var mu sync.Mutex
	served, unknown := 0, 0
	for worker := range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			client := clus.client()
			for n := range 25 {
				runs, err := clus.bookUntilOutcomeKnown(ctx, client, fmt.Sprintf("ride-%d-%d", worker, n))
				mu.Lock()
				switch {
				case err == nil:
					assert.Equal(t, 1, runs)
					served++
				default:
					unknown++
				}
				mu.Unlock()
			}
		}()
	}
	clus.kill(leader)
	clus.startHost(leader)
	wg.Wait()
	t.Logf("%d served, %d with an outcome that remains unknown", served, unknown)
	assert.Positive(t, served)
	assert.Equal(t, 200, served+unknown)
}

// bookUntilOutcomeKnown retries a booking until it succeeds or its outcome is reported to
// remain unknown.
func (clus *cluster) bookUntilOutcomeKnown(ctx context.Context, c *fennelyard.Client, key string) (int, error) {
	retry := time.NewTicker(20 * time.Millisecond)
	defer retry.Stop()
	for ; ; <-retry.C {
		runs, err := clus.requestBooking(ctx, c, key)
		var refusal *fennelyard.Error
		switch {
		case err == nil:
			return runs, nil
		case errors.As(err, &refusal) && refusal.Code() == "outcome-unknown" && refusal.RetryAfter() == 0:
			return 0, err
		case ctx.Err() != nil:
			return 0, err
		}
	}
}

// The leader's host receives SIGTERM while clients send requests continuously. It leaves the
// directory, serves clients that have the old directory cached, transfers leadership and
// exits. No request may fail.
func TestPlannedStopUnderLoad(t *testing.T) {
	clus := startFaultCluster(t)
	require.NoError(t, clus.requestCompletion(clus.client()))
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	var failures []error
	responses := 0
	for range 6 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			client := clus.client()
			for {
				select {
				case <-stop:
					return
				default:
				}
				err := clus.requestCompletion(client)
				mu.Lock()
				responses++
				if err != nil {
					failures = append(failures, err)
				}
				mu.Unlock()
			}
		}()
	}
	leader := clus.leader()
	clus.useOperatorOtherThan(leader)
	clus.sendSignal(leader, syscall.SIGTERM)
	<-clus.processes[leader].done
	assert.Zero(t, clus.processes[leader].cmd.ProcessState.ExitCode())
	close(stop)
	wg.Wait()
	assert.Empty(t, failures, "of %d responses", responses)
	t.Logf("%d responses around the stop", responses)
}
