package gateway

import (
	"time"

	"fennelyard/internal/incarnation"
	"fennelyard/internal/quarantine"
	"fennelyard/internal/ratelimit"
	"fennelyard/internal/schema"
)

const (
	// minEjection and maxEjection bound how long a server that does not respond is ejected: long
	// enough to try a few others first, and short compared with the seconds that a server needs to
	// return.
	minEjection = 500 * time.Millisecond
	maxEjection = 4 * time.Second
	// maxEndedAge is the age up to which a record that servers have ended ejects them. The leader removes
	// them within seconds; one that starts again may have the same key.
	maxEndedAge = time.Minute
	// absentDuration is how long a server that refused a request for lack of a model or adapter
	// is not chosen for it; the leader's update arrives within milliseconds.
	absentDuration = 60 * time.Millisecond
	// maxPromptParts is the number of prompt parts remembered per server: an engine's cache of
	// some 200,000 tokens holds that many parts of 1,000 tokens and more.
	maxPromptParts = 200
)

// server is an incarnation of a backend server as known to this entry.
type server struct {
	// id is the key of the incarnation and server the id of the server. These and address never
	// change; all other fields are guarded by the fleet's mutex.
	id, server, address string
	// pool is the pool of its first view, which does not change.
	pool string
	// kind is the kind of its software, which does not change either.
	kind quarantine.Kind
	view *schema.RosterServer
	// models holds the loaded adapters by loaded model.
	models map[string]map[string]bool
	// running is the number of this entry's requests at the server; runs holds the same by model
	// and by model/adapter, without zero entries.
	running int
	runs    map[string]int
	// reserved is the number of requests that are admitted and about to be sent.
	reserved int
	// abandoned holds until when requests count that this entry has abandoned and the server may still
	// run; only while the server's pool has a rejection limit.
	abandoned []time.Time
	// pendingPrefill is the number of prompt tokens that this entry sent and whose prefill is not
	// known to be done.
	pendingPrefill int
	// reported is the load that this entry last reported to the leader, others the load of the
	// other entries by the leader's last update.
	reported, others load
	// meanPendingPrefill is a moving average of the pending prefill of all entries, in tokens.
	meanPendingPrefill float64
	// promptParts holds the prompt parts that this entry sent, keyed by model, adapter and part
	// id, with the number of the last request that contained each.
	promptParts         map[string]uint64
	requests            uint64
	consecutiveFailures int
	ejectedUntil        time.Time
	// rejectedUntil is until when this entry sends nothing as the server has rejected a request, and
	// nextTurn when it may send the next one of less than one at a time. Both hold only while the
	// server's pool has a rejection limit.
	rejectedUntil, nextTurn time.Time
	// leaving is set once a response has stated that the server leaves.
	leaving bool
	// permits is what this entry knows of the server's request limit, and its permits.
	permits ratelimit.Permits
	// absentUntil holds until when a model or adapter counts as missing.
	absentUntil map[string]time.Time
	// health is what the server has reported while this entry held no lease.
	health serverHealth
}

// addRuns adds delta to the number of running requests of a request's model and adapter.
func (s *server) addRuns(info *RequestInfo, delta int) {
	names := []string{info.Model}
	if info.Adapter != "" {
		names = append(names, info.Model+"/"+info.Adapter)
	}
	for _, name := range names {
		if s.runs[name] += delta; s.runs[name] <= 0 {
			delete(s.runs, name)
		}
	}
}

// load is the load of an engine: requests, and prompt tokens with pending prefill.
type load struct {
	running, pendingPrefill int
}

func newServer(v *schema.RosterServer) *server {
	s := &server{
		kind: quarantine.KindOf(v.GetPool(), v.GetSoftware()),
		pool: v.GetPool(),
		id:   v.GetId(), server: incarnation.ServerOf(v.GetId()), address: v.GetAddress(), promptParts: map[string]uint64{}, absentUntil: map[string]time.Time{},
		runs: map[string]int{},
	}
	s.update(v)
	return s
}

func (s *server) update(v *schema.RosterServer) {
	s.view = v
	s.permits.SetKnown(v.GetLimit(), time.Now())
	s.models = make(map[string]map[string]bool, len(v.GetModels()))
	for _, m := range v.GetModels() {
		adapters := make(map[string]bool, len(m.GetAdapters()))
		for _, a := range m.GetAdapters() {
			adapters[a] = true
		}
		s.models[m.GetName()] = adapters
	}
}

// hasModel reports whether the server can serve a model, and an adapter of it unless empty.
func (s *server) hasModel(model, adapter string, now time.Time) bool {
	adapters, ok := s.models[model]
	if !ok || adapter != "" && !adapters[adapter] {
		return false
	}
	return !now.Before(s.absentUntil[model+"/"+adapter])
}

// ready reports whether the server takes new work.
func (s *server) ready() bool { return s.viewedReady() && !s.leaving }

// viewedReady reports whether the server takes new work by the leader's last update.
func (s *server) viewedReady() bool {
	return s.view.GetState() == schema.RosterState_ROSTER_STATE_READY
}

// uncached returns the number of tokens of a request's prompt that the server has to prefill.
func (s *server) uncached(info *RequestInfo) int {
	tokens := info.PromptTokens
	for _, p := range info.PromptParts {
		if s.promptParts[info.Model+"/"+info.Adapter+"/"+p.ID] == 0 {
			break
		}
		tokens -= p.Tokens
	}
	return max(tokens, 0)
}

func (s *server) recordPromptParts(info *RequestInfo) {
	s.requests++
	for _, p := range info.PromptParts {
		s.promptParts[info.Model+"/"+info.Adapter+"/"+p.ID] = s.requests
	}
	for len(s.promptParts) > maxPromptParts {
		oldest, oldestRequest := "", s.requests+1
		for k, n := range s.promptParts {
			if n < oldestRequest {
				oldest, oldestRequest = k, n
			}
		}
		delete(s.promptParts, oldest)
	}
}
