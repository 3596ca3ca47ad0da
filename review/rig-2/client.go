package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	requestInterval = 100 * time.Millisecond
	clientDeadline  = 1500 * time.Millisecond
)

// clients send idempotent requests: each asks up to three machines for the addresses of the entries and sends its request to
// one of them.
type clients struct {
	r         *run
	directory []string
	client    *http.Client
	stop      chan struct{}
	running   sync.WaitGroup

	mu sync.Mutex
	// sent and served count the requests since the last call of reset, and ends how they ended.
	sent, served int
	ends         map[string]int
}

// newClients starts clients that send a request every requestInterval.
func newClients(r *run, directory []string) *clients {
	c := &clients{
		r: r, directory: directory, stop: make(chan struct{}), ends: map[string]int{},
		client: &http.Client{Timeout: clientDeadline, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	c.running.Go(c.sendAll)
	r.onClose(c.close)
	return c
}

func (c *clients) sendAll() {
	for n := 0; ; n++ {
		select {
		case <-c.stop:
			return
		case <-time.After(requestInterval):
		}
		id := fmt.Sprintf("%016x", n+1)
		c.r.notef("client sends request %s", id)
		c.running.Go(func() { c.record(id, c.send(id)) })
	}
}

// send sends one request, and returns how it ended.
func (c *clients) send(id string) string {
	entry := c.resolve()
	if entry == "" {
		return "no address"
	}
	request, err := http.NewRequest(http.MethodGet, "http://"+entry+safePath+"2f", nil)
	if err != nil {
		return "no request"
	}
	request.Host = hostname
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", fmt.Sprint(clientDeadline.Milliseconds()))
	response, err := c.client.Do(request)
	if err != nil {
		return "no response"
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	switch {
	case err != nil:
		return "cut off"
	case response.StatusCode == http.StatusOK && strings.HasPrefix(response.Header.Get("Response-Signature"), "sig."+id+".") && strings.HasPrefix(string(body), "run of "+id+" at "):
		return "served"
	}
	return fmt.Sprint("status ", response.StatusCode)
}

// resolve returns the address of an entry, empty if no machine names one.
func (c *clients) resolve() string {
	query := url.Values{"Name": {hostname}, "Region": {"wgtn"}, "Zone": {zones[0]}}
	for _, directory := range c.directory[:min(3, len(c.directory))] {
		response, err := c.client.Get("http://" + directory + "/v1/resolve?" + query.Encode())
		if err != nil {
			continue
		}
		var list struct{ Addresses []string }
		err = json.NewDecoder(response.Body).Decode(&list)
		_ = response.Body.Close()
		if err == nil && response.StatusCode == http.StatusOK && len(list.Addresses) > 0 {
			return list.Addresses[rand.IntN(len(list.Addresses))]
		}
	}
	return ""
}

func (c *clients) record(id, end string) {
	c.r.notef("client's request %s: %s", id, end)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent++
	c.ends[end]++
	if end == "served" {
		c.served++
	}
}

// report writes how the requests since the last report ended into the record, and returns how many were sent and served.
func (c *clients) report(what string) (sent, served int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ends []string
	for _, end := range slices.Sorted(maps.Keys(c.ends)) {
		ends = append(ends, fmt.Sprintf("%s: %d", end, c.ends[end]))
	}
	sent, served = c.sent, c.served
	c.r.notef("clients (%s): %d requests sent, %d served; %s", what, sent, served, strings.Join(ends, ", "))
	c.sent, c.served, c.ends = 0, 0, map[string]int{}
	return sent, served
}

func (c *clients) close() {
	close(c.stop)
	c.running.Wait()
}
