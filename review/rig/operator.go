package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// hostname is the host of all routes.
const hostname = "ficu95.example"

// The prefixes of the routes, and the only service.
const (
	streamPrefix = "/lohu930/"
	safePrefix   = "/puxa403/"
	unsafePrefix = "/hold77/"
	serviceName  = "wuno96b"
	// requestTimeoutMs is TimeoutMs of all routes and Deadline-Ms of all requests.
	requestTimeoutMs = 13000
)

// config returns a complete configuration. The stream may not be resumed.
func config() []byte {
	type object map[string]any
	route := func(name, prefix, kind string) object {
		return object{
			"Name": name, "Hostname": hostname, "PathPrefix": prefix, "RouteType": kind, "TimeoutMs": requestTimeoutMs, "TargetLatencyMs": 2000,
			"Priority": 1, "Backend": serviceName, "MaxAttempts": 2, "Resumable": false, "TargetGapMs": 500,
		}
	}
	text, _ := json.Marshal(object{
		"Version":  7,
		"Routes":   []object{route("r-stream", streamPrefix, "streaming"), route("r-safe", safePrefix, "safe"), route("r-unsafe", unsafePrefix, "unsafe")},
		"Services": []object{{"Name": serviceName, "HealthPath": "/health", "MaxConns": 480, "Protocol": "h1", "Tls": false}},
		"Limits":   object{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	return text
}

// apiClient calls control hosts and entries as operators and servers do: it follows a 307 and
// waits for a second.
var apiClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// call sends a call and returns the status, 0 for none, and the body.
func call(method, url string, body []byte) (int, []byte) {
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	response, err := apiClient.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, content
}

// putConfig sends the configuration to one control host after the other until it is
// acknowledged.
func (d *deployment) putConfig(wait time.Duration) error {
	answers := map[int]int{}
	for deadline, try := time.Now().Add(wait), 0; time.Now().Before(deadline); try++ {
		status, _ := call(http.MethodPut, "http://"+d.operatorAddress(try%controlHosts)+"/v1/config", config())
		if status == http.StatusOK {
			d.record.add("operator: configuration acknowledged at try %d", try+1)
			return nil
		}
		answers[status]++
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("no acknowledgement of the configuration within %v, tries by their status (0: none): %v", wait, answers)
}

// awaitServing waits until all entries are ready, and serve at a server each.
func (d *deployment) awaitServing(wait time.Duration) error {
	deadline := time.Now().Add(wait)
	for entry := range entries {
		for {
			if time.Now().After(deadline) {
				return fmt.Errorf("entry %d does not serve within %v", entry+1, wait)
			}
			if status, _ := call(http.MethodGet, "http://"+d.readyAddress(entry)+"/v1/ready", nil); status == http.StatusOK && d.serves(entry) {
				break
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	return nil
}

// serves reports whether a short request is served by an entry.
func (d *deployment) serves(entry int) bool {
	c, err := dialCaller(d.callerAddress(entry))
	if err != nil {
		return false
	}
	defer c.close()
	a := c.exchange("warm-up", safePrefix+"short")
	return a.status == http.StatusOK && a.complete()
}

// startAll starts a whole deployment for the first time, and waits until it serves.
func (d *deployment) startAll() error {
	for i := range controlHosts {
		if err := d.startControl(i, true); err != nil {
			return err
		}
	}
	for i := range entries {
		if err := d.startEntry(i, true); err != nil {
			return err
		}
	}
	if err := d.putConfig(20 * time.Second); err != nil {
		return err
	}
	for i := range servers {
		if err := d.startServer(i); err != nil {
			return err
		}
	}
	if err := d.awaitServing(20 * time.Second); err != nil {
		return err
	}
	d.record.add("platform: all entries serve")
	// All entries know all servers after an announcement.
	time.Sleep(3 * time.Second)
	return nil
}
