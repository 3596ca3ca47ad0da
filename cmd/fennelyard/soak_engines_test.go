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
	// modelWaitMS is how long a caller waits for a model, in milliseconds.
	modelWaitMS = 3000
	// orderFates is how many orders there are to one without an answer; half of these are
	// carried out up to lateMost later.
	orderFates = 8
	lateMost   = 8 * time.Second
	// thawAllowed is for how long orders of a host that was frozen do not count.
	thawAllowed = 300 * time.Millisecond
)

// givenOrder is an order that an engine has carried out for a host that got its answer.
type givenOrder struct {
	holder string
	token  uint64
	at     time.Time
}

// frozen notes that a host is frozen for a while, or thawed again.
func (s *soak) frozen(name string, pause time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.thawed[name] = time.Now().Add(pause)
}

// taken judges an order that an engine carries out: tokens grow, and two holders do not
// take turns within their lease.
func (s *soak) taken(id, holder string, token uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.thawed[holder]) < thawAllowed {
		return
	}
	last, now := s.ordered[id], givenOrder{holder, token, time.Now()}
	if now.token <= last.token {
		s.broken = append(s.broken, fmt.Sprintf("%s: token %d of %s after %d of %s", id, now.token, now.holder, last.token, last.holder))
	}
	if last.holder != "" && last.holder != now.holder && now.at.Sub(last.at) < settings.DefaultOrderLease {
		s.broken = append(s.broken, fmt.Sprintf("%s: %s gives orders %v after %s", id, now.holder, now.at.Sub(last.at), last.holder))
	}
	s.ordered[id] = now
}

// fate draws what becomes of an engine's next order.
func (s *soak) fate(r *rand.Rand) (answered bool, late time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.ctx.Err() != nil || r.IntN(orderFates) != 0:
		return true, 0
	case r.IntN(2) == 0:
		return false, 0
	}
	return false, 100*time.Millisecond + rand.N(lateMost)
}

// liveEngine runs a model engine that crashes now and then and starts again under its id with
// its disk, at another address, until the soak ends.
func (s *soak) liveEngine(i int, r *rand.Rand) {
	e := standin.NewEngine(standin.EngineConfig{
		ID: fmt.Sprint("e-", i), Fate: func() (bool, time.Duration) { return s.fate(r) }, Taken: s.taken, Fault: s.fault,
	})
	place := s.servers + i
	for s.alive.Err() == nil {
		e.Start()
		server := s.listen(place)
		life, end := context.WithTimeout(s.alive, s.life(r))
		h := &http.Server{ReadHeaderTimeout: time.Second}
		h.Handler = http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			if !e.Control(w, q) && e.Holds(w, q) {
				s.serve(w, q, end)
			}
		})
		go func() { _ = h.Serve(server) }()
		address, closed := s.before(life, place, server.Addr().String(), r)
		s.announce(life, i, func(sequence int) (path, body string) { return e.Announcement(address, sequence) })
		end()
		_ = h.Close()
		closed()
		time.Sleep(s.down(r))
	}
}

// target returns a model, or its adapter in one of three.
func target(r *rand.Rand) string {
	name := standin.Models[r.IntN(len(standin.Models))]
	if r.IntN(3) == 0 {
		return name + "/" + standin.ModelAdapter
	}
	return name
}

// askModels sends requests of one caller to models until the soak ends.
func (s *soak) askModels(caller int, r *rand.Rand) {
	for n := 0; s.ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%d-m%d-%d", s.seed, caller, n)
		status, body := s.callModel(id, r.IntN(s.entries), target(r))
		s.judge(id, standin.Model, status, body)
		if status == http.StatusOK {
			s.mu.Lock()
			s.answers++
			s.mu.Unlock()
		}
		time.Sleep(time.Duration(r.IntN(20)) * time.Millisecond)
	}
}

func (s *soak) callModel(id string, entry int, target string) (status int, body string) {
	url := fmt.Sprintf("http://%s:%d/%s/x", s.entry(entry), s.port+2, standin.Model)
	return s.call(http.MethodPost, url, "body", standin.ModelHeader(id, target, modelWaitMS), modelWaitMS*time.Millisecond+time.Second)
}

// judgeModels judges, once all is back, that every model and adapter is served, each at an
// entry in turn.
func (s *soak) judgeModels() {
	if s.engines == 0 {
		return
	}
	var targets []string
	for _, name := range standin.Models {
		targets = append(targets, name, name+"/"+standin.ModelAdapter)
	}
	for i, target := range targets {
		tries := 0
		require.Eventually(s.t, func() bool {
			tries++
			id := fmt.Sprint("last-", strings.ReplaceAll(target, "/", "-"), "-", tries)
			status, _ := s.callModel(id, i%s.entries, target)
			return status == http.StatusOK
		}, patience, 50*time.Millisecond, "seed %d: %s is not served", s.seed, target)
	}
}
