package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/settings"
	"fennelyard/platform/standin"
)

const (
	// modelTimeoutMS is the timeout of a request to a model, in milliseconds.
	modelTimeoutMS = 3000
	// ordersPerFault is the mean number of orders to one that gets no reply. Half of these are
	// executed up to maxOrderDelay later, and the others never.
	ordersPerFault = 8
	maxOrderDelay  = 8 * time.Second
	// resumeGrace is the time after a frozen host resumes during which its orders are not
	// checked.
	resumeGrace = 300 * time.Millisecond
)

// executedOrder is an order that an engine executed and to which the host got the reply.
type executedOrder struct {
	holder     string
	token      uint64
	executedAt time.Time
}

// setFrozen records that a host is frozen for a duration, or that it resumes when pause is 0.
func (s *soak) setFrozen(name string, pause time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resumedAt[name] = time.Now().Add(pause)
}

// checkOrder checks an order that an engine executes: the fencing tokens of an engine
// increase, and two order holders do not alternate within their lease.
func (s *soak) checkOrder(id, holder string, token uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.resumedAt[holder]) < resumeGrace {
		return
	}
	last, now := s.lastOrders[id], executedOrder{holder, token, time.Now()}
	if now.token <= last.token {
		s.violations = append(s.violations, fmt.Sprintf("%s: token %d of %s after %d of %s", id, now.token, now.holder, last.token, last.holder))
	}
	if last.holder != "" && last.holder != now.holder && now.executedAt.Sub(last.executedAt) < settings.DefaultOrderLease {
		s.violations = append(s.violations, fmt.Sprintf("%s: %s sends orders %v after %s", id, now.holder, now.executedAt.Sub(last.executedAt), last.holder))
	}
	s.lastOrders[id] = now
}

// drawOrderFault draws whether an engine replies to its next order, and otherwise the delay
// after which it executes the order, 0 for never.
func (s *soak) drawOrderFault(r *rand.Rand) (replied bool, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.ctx.Err() != nil || r.IntN(ordersPerFault) != 0:
		return true, 0
	case r.IntN(2) == 0:
		return false, 0
	}
	return false, 100*time.Millisecond + rand.N(maxOrderDelay)
}

// runEngine runs a model engine until the soak ends. It crashes repeatedly and restarts with
// the same id and disk at another address.
func (s *soak) runEngine(i int, r *rand.Rand) {
	// Orders are carried out by other goroutines.
	orders := rand.New(rand.NewPCG(r.Uint64(), 2))
	e := standin.NewEngine(standin.EngineConfig{
		ID: fmt.Sprint("e-", i), OrderFate: func() (bool, time.Duration) { return s.drawOrderFault(orders) }, OnOrder: s.checkOrder, Errorf: s.recordViolation,
	})
	index := s.servers + i
	for s.serversCtx.Err() == nil {
		e.Start()
		server := s.listenServer(index)
		lifetime, end := context.WithTimeout(s.serversCtx, s.uptime(r))
		h := &http.Server{ReadHeaderTimeout: time.Second}
		h.Handler = http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			if !e.HandleControl(w, q) && e.CheckLoaded(w, q) {
				s.serveRequest(w, q, "", end)
			}
		})
		go func() { _ = h.Serve(server) }()
		address, closeProxy := s.startServerProxy(lifetime, index, server.Addr().String(), r)
		s.announce(lifetime, i, func(sequence int) (path, body string) { return e.Announcement(address, sequence) })
		end()
		_ = h.Close()
		closeProxy()
		time.Sleep(s.downtime(r))
	}
}

// randomTarget returns a random model, or its adapter with a probability of one third.
func randomTarget(r *rand.Rand) string {
	name := standin.ModelNames[r.IntN(len(standin.ModelNames))]
	if r.IntN(3) == 0 {
		return name + "/" + standin.AdapterName
	}
	return name
}

// sendModelRequests sends the requests of one client to models until the soak's context ends.
func (s *soak) sendModelRequests(client int, r *rand.Rand) {
	for n := 0; s.ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%d-m%d-%d", s.seed, client, n)
		status, body := s.callModel(id, r.IntN(s.entries), randomTarget(r))
		s.checkResponse(id, standin.ModelRoute, status, body)
		if status == http.StatusOK {
			s.mu.Lock()
			s.servedByModels++
			s.mu.Unlock()
		}
		time.Sleep(time.Duration(r.IntN(20)) * time.Millisecond)
	}
}

func (s *soak) callModel(id string, entry int, target string) (status int, body string) {
	url := fmt.Sprintf("http://%s:%d/%s/x", s.entryIP(entry), s.port+2, standin.ModelRoute)
	return s.call(http.MethodPost, url, "body", standin.ModelHeader(id, target, modelTimeoutMS), modelTimeoutMS*time.Millisecond+time.Second)
}

// checkModels checks, after the end of the faults, that every model and adapter is served,
// at the entries in turn.
func (s *soak) checkModels() {
	if s.engines == 0 {
		return
	}
	var targets []string
	for _, name := range standin.ModelNames {
		targets = append(targets, name, name+"/"+standin.AdapterName)
	}
	for i, target := range targets {
		attempts := 0
		require.Eventually(s.t, func() bool {
			attempts++
			id := fmt.Sprint("last-", strings.ReplaceAll(target, "/", "-"), "-", attempts)
			status, _ := s.callModel(id, i%s.entries, target)
			return status == http.StatusOK
		}, waitLimit, 50*time.Millisecond, "seed %d: %s is not served", s.seed, target)
	}
}
