package gateway

import (
	"time"

	"fennelyard/internal/incarnation"
	"fennelyard/internal/schema"
)

const (
	// ejectFirst and ejectMost bound how long a server that does not answer is
	// left out: long enough for a few others to be tried first, and short against
	// the seconds in which a server comes back.
	ejectFirst = 500 * time.Millisecond
	ejectMost  = 4 * time.Second
	// absentFor is how long a server that said that it lacks a model is not asked
	// for it again; the leader's word takes a few milliseconds.
	absentFor = 60 * time.Millisecond
	// partsKept is how many prompt parts are remembered per server: what an
	// engine's cache of some 200,000 tokens holds of parts of 1,000 and more.
	partsKept = 200
)

// server is a backend server's incarnation as this entry sees it.
type server struct {
	// id is the incarnation's key and server the server's id. Both and address never
	// change; all else is guarded by the fleet's mutex.
	id, server, address string
	view                *schema.RosterServer
	// models holds the adapters of each model that the server holds.
	models map[string]map[string]bool
	// running is the number of this entry's requests there, and runs the same by
	// model, and by model/adapter; those without any are left out.
	running int
	runs    map[string]int
	// unread is the number of prompt tokens that this entry sent there and that
	// are not known to be read.
	unread int
	// told is what this entry last told the leader of the two above, and others
	// what the other entries have there by the leader's last word.
	told, others load
	// reading is an average of the prompt tokens that are there and not read.
	reading float64
	// parts holds the prompt parts that this entry sent there, by model and id,
	// with the number of the request that last did.
	parts    map[string]uint64
	requests uint64
	// strikes counts failures in a row.
	strikes int
	out     time.Time
	// absent holds until when a model or adapter counts as not there.
	absent map[string]time.Time
}

// count adds a request to the runs of its model and adapter, or takes it off.
func (s *server) count(c *RequestInfo, by int) {
	names := []string{c.Model}
	if c.Adapter != "" {
		names = append(names, c.Model+"/"+c.Adapter)
	}
	for _, name := range names {
		if s.runs[name] += by; s.runs[name] <= 0 {
			delete(s.runs, name)
		}
	}
}

// load is what is at an engine.
type load struct {
	running, unread int
}

func newServer(v *schema.RosterServer) *server {
	s := &server{
		id: v.GetId(), server: incarnation.ServerOf(v.GetId()), address: v.GetAddress(), parts: map[string]uint64{}, absent: map[string]time.Time{},
		runs: map[string]int{},
	}
	s.update(v)
	return s
}

func (s *server) update(v *schema.RosterServer) {
	s.view = v
	s.models = make(map[string]map[string]bool, len(v.GetModels()))
	for _, m := range v.GetModels() {
		adapters := make(map[string]bool, len(m.GetAdapters()))
		for _, a := range m.GetAdapters() {
			adapters[a] = true
		}
		s.models[m.GetName()] = adapters
	}
}

// holds reports whether the server can serve a model, and an adapter of it.
func (s *server) holds(model, adapter string, now time.Time) bool {
	adapters, ok := s.models[model]
	if !ok || adapter != "" && !adapters[adapter] {
		return false
	}
	return !now.Before(s.absent[model+"/"+adapter])
}

func (s *server) ready() bool { return s.view.GetState() == schema.RosterState_ROSTER_STATE_READY }

// uncached returns how many tokens of a call's prompt the server has to read.
func (s *server) uncached(c *RequestInfo) int {
	tokens := c.PromptTokens
	for _, p := range c.PromptParts {
		if s.parts[c.Model+"/"+c.Adapter+"/"+p.ID] == 0 {
			break
		}
		tokens -= p.Tokens
	}
	return max(tokens, 0)
}

func (s *server) remember(c *RequestInfo) {
	s.requests++
	for _, p := range c.PromptParts {
		s.parts[c.Model+"/"+c.Adapter+"/"+p.ID] = s.requests
	}
	for len(s.parts) > partsKept {
		oldest, at := "", s.requests+1
		for k, n := range s.parts {
			if n < at {
				oldest, at = k, n
			}
		}
		delete(s.parts, oldest)
	}
}
