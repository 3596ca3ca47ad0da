// Package standin holds small stand-ins for what the system meets: a model
// engine, an application server and the weight store. They serve the demo and
// the tests; their faults are set by function fields.
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
	announcePath   = "/v1/announcements"
	announceEvery  = 500 * time.Millisecond
	announceWait   = time.Second
	maxReplyBytes  = 1 << 20
	headerTimeout  = 5 * time.Second
	leaveAnnounces = 3
)

// announcer posts a server's announcements to one entry, and to the next one
// when that does not answer. A leaving server tells every entry it knows.
type announcer struct {
	build  func() *schema.AnnounceRequest
	client *http.Client
	stop   chan struct{}
	done   chan struct{}
	once   sync.Once
	kick   chan struct{}

	mu       sync.Mutex
	entries  []string
	sequence uint64
}

func newAnnouncer(entries []string, build func() *schema.AnnounceRequest) *announcer {
	a := &announcer{
		build: build, entries: entries, client: &http.Client{Timeout: announceWait},
		stop: make(chan struct{}), done: make(chan struct{}), kick: make(chan struct{}, 1),
	}
	ticker := time.NewTicker(announceEvery)
	go func() {
		defer close(a.done)
		defer ticker.Stop()
		for {
			a.announce()
			select {
			case <-a.stop:
				return
			case <-ticker.C:
			case <-a.kick:
			}
		}
	}()
	return a
}

// now announces without waiting for the next turn.
func (a *announcer) now() {
	select {
	case a.kick <- struct{}{}:
	default:
	}
}

func (a *announcer) announce() {
	a.mu.Lock()
	a.sequence++
	q := a.build()
	q.Sequence = a.sequence
	entries := append([]string(nil), a.entries...)
	a.mu.Unlock()
	data, err := protojson.Marshal(q)
	if err != nil {
		return
	}
	for i, address := range entries {
		reply := a.post(address, data)
		if reply == nil {
			continue
		}
		a.learn(entries, i, reply)
		if !q.GetLeaving() {
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

// learn keeps the entries that an entry named, and the first ones behind them
// for the case that all of these die.
func (a *announcer) learn(old []string, at int, reply *schema.AnnounceReply) {
	seen := map[string]bool{}
	var next []string
	for _, list := range [][]string{reply.GetAddresses(), old[at:], old} {
		for _, x := range list {
			if !seen[x] {
				seen[x] = true
				next = append(next, x)
			}
		}
	}
	a.mu.Lock()
	a.entries = next
	a.mu.Unlock()
}

// stopSoon announces nothing from the next turn on.
func (a *announcer) stopSoon() { a.once.Do(func() { close(a.stop) }) }

func (a *announcer) close() {
	a.stopSoon()
	<-a.done
}
