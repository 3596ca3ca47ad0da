package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// operator calls the control machines as PROTOCOL.md says: it picks them in turn, follows a redirection twice, and goes on
// to the next one after a failure, a 5xx, a 408 or 429, or a second without a response.
type operator struct {
	r       *run
	control []string
	client  *http.Client
}

const (
	callTimeout = time.Second
	minBackoff  = 50 * time.Millisecond
	maxBackoff  = 500 * time.Millisecond
)

func newOperator(r *run, control []string) *operator {
	redirects := func(_ *http.Request, via []*http.Request) error {
		if len(via) > 2 {
			return http.ErrUseLastResponse
		}
		return nil
	}
	return &operator{r: r, control: control, client: &http.Client{Timeout: callTimeout, CheckRedirect: redirects, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// call makes one call at one machine, and returns 0 if there was no response.
func (o *operator) call(method, control, path string, body []byte) (status int, response []byte) {
	defer func() { o.r.notef("operator: %s %s at %s: status %d", method, path, control, status) }()
	request, err := http.NewRequest(method, "http://"+control+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Header.Set("Content-Type", "application/json")
	reply, err := o.client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = reply.Body.Close() }()
	response, err = io.ReadAll(reply.Body)
	if err != nil {
		return 0, nil
	}
	return reply.StatusCode, response
}

// put sends a configuration, unchanged, until it is acknowledged or refused, or a time has passed. It returns the last
// status, 0 for none.
func (o *operator) put(what string, body []byte, limit time.Duration) (status int, took time.Duration) {
	begun, backoff, answers := time.Now(), minBackoff, map[int]int{}
	for i := 0; time.Since(begun) < limit; i++ {
		status, _ = o.call(http.MethodPut, o.control[i%len(o.control)], "/v1/config", body)
		answers[status]++
		if status == http.StatusOK || status >= 400 && status < 500 && status != 408 && status != 429 {
			break
		}
		time.Sleep(backoff)
		backoff = min(backoff*2, maxBackoff)
	}
	took = time.Since(begun)
	o.r.notef("operator: PUT /v1/config (%s): last status %d after %d ms; answers by status, 0 for none: %v", what, status, took.Milliseconds(), answers)
	return status, took
}

// readBack asks for the configuration at each control machine again and again for a time, and reports whether it is the one
// that was sent.
func (o *operator) readBack(sent []byte, during time.Duration) bool {
	begun, answers, same := time.Now(), map[int]int{}, 0
	for i := 0; time.Since(begun) < during; i++ {
		status, body := o.call(http.MethodGet, o.control[i%len(o.control)], "/v1/config", nil)
		answers[status]++
		if status == http.StatusOK && bytes.Equal(body, sent) {
			same++
		}
		time.Sleep(minBackoff)
	}
	o.r.notef("operator: GET /v1/config for %d ms: %d times what was sent; answers by status, 0 for none: %v", during.Milliseconds(), same, answers)
	return same > 0
}

// configuration is a complete configuration in the operator's format, with the routes and the services of the registration desk.
type configuration struct {
	Version  uint64
	Routes   []configRoute
	Services []configService
	Limits   map[string]int
}

type configRoute struct {
	Name, Hostname, PathPrefix, RouteType, Backend    string
	TimeoutMs, TargetLatencyMs, Priority, MaxAttempts int
	SessionAffinity, Resumable                        bool
}

type configService struct {
	Name, HealthPath string
	MaxConns         int
	Protocol         string
	TLS              bool `json:"Tls"`
}

const (
	hostname   = "ficu95.example"
	service    = "wuno96b"
	safePath   = "/lohu930/"
	unsafePath = "/puxa403/"
)

// newConfiguration returns a configuration with an idempotent and a non-idempotent route.
func newConfiguration(version uint64) ([]byte, error) {
	c := configuration{
		Version: version,
		Routes: []configRoute{
			{Name: "r-safe", Hostname: hostname, PathPrefix: safePath, RouteType: "safe", Backend: service, TimeoutMs: 1500, TargetLatencyMs: 100, Priority: 2, MaxAttempts: 2},
			{Name: "r-unsafe", Hostname: hostname, PathPrefix: unsafePath, RouteType: "unsafe", Backend: service, TimeoutMs: 1500, TargetLatencyMs: 100, Priority: 2, MaxAttempts: 1},
		},
		Services: []configService{{Name: service, HealthPath: "/health", MaxConns: 96, Protocol: "h1"}},
		Limits:   map[string]int{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	}
	body, err := json.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	return body, nil
}
