package main

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"fennelyard/platform/standin"
)

const (
	// A server serves, rejects requests or leaves for minStateTime to maxStateTime.
	minStateTime, maxStateTime = 500 * time.Millisecond, 2500 * time.Millisecond
	// maxStatedWait is the longest cooldown.
	maxStatedWait = 3 * time.Second
)

// clientRequest is a request that a client has sent to an entry.
type clientRequest struct {
	entry  int
	sentAt time.Time
	// start is the entry's start that it was sent to.
	start int
	// stated are the statements of the responses to it.
	stated []knownStatement
}

// knownStatement is the statement of a server that it wants no request of an entry until a time. The
// entry has received it: it has responded to the request whose response stated it.
type knownStatement struct {
	server *statingServer
	entry  int
	until  time.Time
	// knownAt is when the client had the entry's response.
	knownAt time.Time
}

// entryStarts records the start of an entry, which knows no statements.
func (s *soak) entryStarts(entry int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.starts[entry]++
	s.known = slices.DeleteFunc(s.known, func(k knownStatement) bool { return k.entry == entry })
}

func (s *soak) requestStarts(id string, entry int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests[id] = clientRequest{entry: entry, sentAt: time.Now(), start: s.starts[entry]}
}

// requestEnds records that a client has the response to a request: its entry has received what the
// servers stated in theirs.
func (s *soak) requestEnds(id string, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	request := s.requests[id]
	delete(s.requests, id)
	if status == 0 || request.start != s.starts[request.entry] {
		return
	}
	for _, k := range request.stated {
		k.knownAt = time.Now()
		s.known = append(s.known, k)
	}
}

// statingServer is one incarnation of a backend server that asks for cooldowns and states that it
// leaves, and checks that entries that know it send no requests; nil is a server that states nothing.
// All methods are safe for concurrent use.
type statingServer struct {
	s *soak

	mu sync.Mutex
	// r draws the states; guarded by mu, as all fields below.
	r *rand.Rand
	// rejecting is set while the server rejects requests, leaving once it leaves.
	rejecting, leaving bool
}

func (s *soak) isStating(i int) bool { return s.stating && i == 0 }

// newStatingServer returns the statements of an incarnation of a backend server.
func (s *soak) newStatingServer(i int, r *rand.Rand) *statingServer {
	if !s.isStating(i) {
		return nil
	}
	return &statingServer{s: s, r: rand.New(rand.NewPCG(r.Uint64(), 1))}
}

// run changes what the server states until its lifetime ends. A server that leaves does so until
// then.
func (v *statingServer) run(lifetime context.Context) {
	for v != nil && lifetime.Err() == nil {
		v.mu.Lock()
		v.rejecting, v.leaving = v.r.IntN(2) > 0, v.leaving || v.r.IntN(4) == 0
		next := minStateTime + time.Duration(v.r.Int64N(int64(maxStateTime-minStateTime)))
		v.mu.Unlock()
		select {
		case <-lifetime.Done():
		case <-time.After(next):
		}
	}
}

// handle checks the arrival of a request and states what the server wants. It reports whether it has
// rejected the request.
func (v *statingServer) handle(w http.ResponseWriter, q *http.Request) (rejected bool) {
	if v == nil {
		return false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	v.checkArrival(standin.RequestID(q), now)
	if v.leaving {
		standin.StateDeparture(w)
		v.state(standin.RequestID(q), now.Add(time.Hour))
	}
	if !v.rejecting {
		return false
	}
	wait, value := v.drawWait()
	v.state(standin.RequestID(q), now.Add(wait))
	standin.Reject(w, q, value)
	return true
}

// drawWait returns a wait and the value that states it; the caller holds mu.
func (v *statingServer) drawWait() (time.Duration, string) {
	switch wait := time.Duration(v.r.Int64N(int64(maxStatedWait))); v.r.IntN(6) {
	case 0:
		return 0, "soon"
	case 1:
		return 0, "0"
	case 2:
		return wait.Truncate(time.Second), strconv.Itoa(int(wait.Seconds()))
	default:
		return wait, strconv.FormatFloat(wait.Seconds(), 'f', -1, 64)
	}
}

// state records a statement of the response to a request.
func (v *statingServer) state(id string, until time.Time) {
	v.s.mu.Lock()
	defer v.s.mu.Unlock()
	request, ok := v.s.requests[id]
	if !ok {
		// Its client does not wait for it any longer, or it is a harmful one.
		return
	}
	request.stated = append(request.stated, knownStatement{server: v, entry: request.entry, until: until})
	v.s.requests[id] = request
}

// checkArrival checks that the entry of a request did not know, when its client sent it, that the
// server wants none until later.
func (v *statingServer) checkArrival(id string, now time.Time) {
	v.s.mu.Lock()
	defer v.s.mu.Unlock()
	request, ok := v.s.requests[id]
	if !ok || request.start != v.s.starts[request.entry] {
		return
	}
	for _, k := range v.s.known {
		if k.server == v && k.entry == request.entry && k.knownAt.Before(request.sentAt) && now.Before(k.until) {
			v.s.violations = append(v.s.violations, id+" reached a server "+k.until.Sub(now).String()+" before it wanted requests of its entry again")
		}
	}
}
