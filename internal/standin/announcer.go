// Package standin simulates the systems that fennelyard works with: a model engine, an application
// server, the weight store and the network. The demo and the tests use it; faults are injected by
// function fields of the configurations.
package standin

import (
	"bytes"
	"io"
	"net/http"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"fennelyard/internal/schema"
)

const (
	announcePath       = "/v1/announcements"
	announceInterval   = 500 * time.Millisecond
	announceTimeout    = time.Second
	maxReplyBytes      = 1 << 20
	readHeaderTimeout  = 5 * time.Second
	leaveAnnouncements = 3
)

// announcer posts a server's announcements to the first entry that accepts them. A server that is
// leaving announces it to every known entry.
type announcer struct {
	newRequest func() *schema.AnnounceRequest
	client     *http.Client
	stop       chan struct{}
	done       chan struct{}
	once       sync.Once
	trigger    chan struct{}

	mu       sync.Mutex
	entries  []string
	sequence uint64
}

func newAnnouncer(entries []string, newRequest func() *schema.AnnounceRequest) *announcer {
	a := &announcer{
		newRequest: newRequest, entries: entries, client: &http.Client{Timeout: announceTimeout},
		stop: make(chan struct{}), done: make(chan struct{}), trigger: make(chan struct{}, 1),
	}
	ticker := time.NewTicker(announceInterval)
	go func() {
		defer close(a.done)
		defer ticker.Stop()
		for {
			a.announce()
			select {
			case <-a.stop:
				return
			case <-ticker.C:
			case <-a.trigger:
			}
		}
	}()
	return a
}

// announceNow triggers an announcement before the next tick.
func (a *announcer) announceNow() {
	select {
	case a.trigger <- struct{}{}:
	default:
	}
}

func (a *announcer) announce() {
	a.mu.Lock()
	a.sequence++
	request := a.newRequest()
	request.Sequence = a.sequence
	entries := append([]string(nil), a.entries...)
	a.mu.Unlock()
	data, err := protojson.Marshal(request)
	if err != nil {
		return
	}
	for i, address := range entries {
		reply := a.post(address, data)
		if reply == nil {
			continue
		}
		a.updateEntries(entries, i, reply)
		if !request.GetLeaving() {
			return
		}
	}
}

func (a *announcer) post(address string, data []byte) *schema.AnnounceReply {
	resp, err := a.client.Post("http://"+address+announcePath, "application/json", bytes.NewReader(data))
	if err != nil {
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil || resp.StatusCode != http.StatusOK {
		return nil
	}
	reply := &schema.AnnounceReply{}
	if protojson.Unmarshal(body, reply) != nil {
		return nil
	}
	return reply
}

// updateEntries sets the list of entries after a reply of old[index]: first those that the reply
// names, then the previously known ones beginning with old[index], as a fallback in case all of the
// named ones fail.
func (a *announcer) updateEntries(old []string, index int, reply *schema.AnnounceReply) {
	seen := map[string]bool{}
	var next []string
	for _, list := range [][]string{reply.GetAddresses(), old[index:], old} {
		for _, address := range list {
			if !seen[address] {
				seen[address] = true
				next = append(next, address)
			}
		}
	}
	a.mu.Lock()
	a.entries = next
	a.mu.Unlock()
}

// requestStop stops the announcements without waiting for the current one.
func (a *announcer) requestStop() { a.once.Do(func() { close(a.stop) }) }

func (a *announcer) close() {
	a.requestStop()
	<-a.done
}
