package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1200 * time.Millisecond
	// workTime is how long a server takes for a request.
	workTime = 15 * time.Millisecond
)

// backend is a sound server of the registration desk. It sends heartbeats to the control machines in turn.
type backend struct {
	r            *run
	id, zone, at string
	control      []string
	stop         chan struct{}

	mu sync.Mutex
	// runs counts the runs of each request, by its ID.
	runs map[string]int
}

func newBackend(r *run, id, zone, ip string, control []string) (*backend, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	b := &backend{r: r, id: id, zone: zone, at: l.Addr().String(), control: control, stop: make(chan struct{}), runs: map[string]int{}}
	server := &http.Server{Handler: b, ReadHeaderTimeout: heartbeatInterval}
	go func() { _ = server.Serve(l) }()
	go b.sendHeartbeats()
	r.onClose(func() {
		close(b.stop)
		_ = server.Close()
	})
	r.notef("server %s starts at %s", id, b.at)
	return b, nil
}

// sendHeartbeats announces the server until it stops. If a machine doesn't acknowledge within a second, the next one is
// called.
func (b *backend) sendHeartbeats() {
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for seq, next := 1, 0; ; seq++ {
		body, _ := json.Marshal(map[string]any{
			"Backend": service, "Address": b.at, "Zone": b.zone, "Version": "v1", "Slots": 6, "State": "ready", "ColdRemainingMs": 0, "Seq": seq,
		})
		for range b.control {
			request, _ := http.NewRequest(http.MethodPut, "http://"+b.control[next]+"/v1/instances/"+b.id, bytes.NewReader(body))
			request.Header.Set("Content-Type", "application/json")
			response, err := client.Do(request)
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode/100 == 2 {
					break
				}
			}
			next = (next + 1) % len(b.control)
		}
		select {
		case <-b.stop:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// ServeHTTP implements http.Handler as PROTOCOL.md says servers respond.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != b.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", b.id)
		return
	}
	if id == "" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	b.mu.Lock()
	b.runs[id]++
	runs := b.runs[id]
	b.mu.Unlock()
	b.r.notef("server %s runs request %s, run %d", b.id, id, runs)
	time.Sleep(workTime)
	body := "run of " + id + " at " + b.id
	w.Header().Set("Response-Signature", "sig."+id+"."+b.id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write([]byte(body))
}
