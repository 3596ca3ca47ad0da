package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"fennelyard/platform/standin"
)

const (
	// soakDrainTime is how long a server serves after the acknowledgement of its departure, more than drainLimit.
	soakDrainTime = 3500 * time.Millisecond
	// soakAckLimit is how long it waits for the acknowledgement.
	soakAckLimit = 4 * time.Second
	// freezeGrace is how long after a freeze an entry may send a request late: it may have been stopped after its
	// last check.
	freezeGrace = 3 * time.Second
)

// departingServer is one incarnation of a backend server that leaves before it ends, and checks that no requests reach it
// long after its departure was acknowledged. All methods are safe for concurrent use.
type departingServer struct {
	s  *soak
	id string

	mu sync.Mutex
	// leaving is set once the server leaves, and acknowledgedAt is when that was acknowledged; both guarded by mu.
	leaving        bool
	acknowledgedAt time.Time
}

// handle answers a health check, or checks the arrival of a request. It reports whether it has answered.
func (d *departingServer) handle(w http.ResponseWriter, q *http.Request) bool {
	d.mu.Lock()
	leaving, acknowledgedAt := d.leaving, d.acknowledgedAt
	d.mu.Unlock()
	if standin.AnswerHealthCheck(w, q, d.id) {
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return true
	}
	if late := time.Since(acknowledgedAt); !acknowledgedAt.IsZero() && late > drainLimit {
		d.s.checkLateArrival(d.id, standin.RequestID(q), late)
	}
	return false
}

// checkLateArrival records a violation unless the entry of a request was frozen.
func (s *soak) checkLateArrival(server, request string, late time.Duration) {
	s.mu.Lock()
	entry := s.requests[request].entry
	frozen := time.Since(s.resumedAt[fmt.Sprint("entry-", entry)]) < freezeGrace
	s.mu.Unlock()
	if !frozen {
		s.recordViolation("%s reached %s through entry-%d %v after its departure was acknowledged", request, server, entry, late)
	}
}

// depart reports that the server leaves to one control host after the other until it is acknowledged, and serves on for
// soakDrainTime.
func (d *departingServer) depart() {
	d.mu.Lock()
	d.leaving = true
	d.mu.Unlock()
	for n, start := 0, time.Now(); time.Since(start) < soakAckLimit && d.s.serversCtx.Err() == nil; n++ {
		status, _ := d.s.call(http.MethodDelete, d.s.operatorURL(n%soakControls)+"/v1/instances/"+d.id, "", nil, time.Second)
		if status != http.StatusOK {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		d.mu.Lock()
		d.acknowledgedAt = time.Now()
		d.mu.Unlock()
		d.s.mu.Lock()
		d.s.departures++
		d.s.mu.Unlock()
		break
	}
	select {
	case <-d.s.serversCtx.Done():
	case <-time.After(soakDrainTime):
	}
}
