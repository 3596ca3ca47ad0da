package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"fennelyard/internal/engine"
	"fennelyard/internal/routing"
	"fennelyard/internal/schema"
)

// EngineConfig configures an engine. Listener, Name, Entries and
// AcceleratorMiB are required.
type EngineConfig struct {
	Listener   net.Listener
	Name       string
	DataCentre string
	// Incarnation is replaced by the start time in Unix nanoseconds if it is 0.
	Incarnation    uint64
	Entries        []string
	AcceleratorMiB []uint64
	// ChecksFencing makes the engine refuse orders for another incarnation or with an outdated
	// fencing token.
	ChecksFencing bool
	// WeightStore is the address of the weight store, from which checkpoints are fetched that
	// are not cached. If it is empty they load at DiskMiBPerSecond.
	WeightStore      string
	DiskMiBPerSecond float64
	// CachedCheckpoints names the checkpoints on the engine's disk at the start.
	CachedCheckpoints []string
	// TokenTime is the time to generate one token, Tokens the number of tokens of a response;
	// 0 takes 8.
	TokenTime time.Duration
	Tokens    int
	// LoadTime is added to every load.
	LoadTime time.Duration
	// Complete, if set, replaces the completion handler to inject faults. It is called only for
	// loaded models.
	Complete func(w http.ResponseWriter, r *http.Request, model string)
	// Load, if set, is called before a model is loaded. If it returns an error the load fails.
	Load func(o *schema.Order) error
}

type loadedTarget struct {
	order *schema.Order
}

// Engine simulates a model engine without loading weights. Its completions are the numbered tokens
// w1, w2 and so on.
type Engine struct {
	cfg       EngineConfig
	server    *http.Server
	announcer *announcer
	done      chan struct{}

	mu sync.Mutex
	// loaded maps the targets in accelerator memory to the orders that loaded them.
	loaded map[string]loadedTarget
	cached map[string]bool
	// highestFencing is the highest fencing token received for each target.
	highestFencing map[string]uint64
	outstanding    int
	requests       int
	orders         int
	leaving        bool
	// overcommits counts the loads that exceeded the accelerator's memory; tests expect 0.
	overcommits int
	loadCounts  map[string]int
}

// NewEngine starts an engine and its announcements.
func NewEngine(cfg EngineConfig) *Engine {
	if cfg.Incarnation == 0 {
		cfg.Incarnation = uint64(time.Now().UnixNano())
	}
	if cfg.Tokens == 0 {
		cfg.Tokens = 8
	}
	e := &Engine{
		cfg: cfg, done: make(chan struct{}), loaded: map[string]loadedTarget{},
		cached: map[string]bool{}, highestFencing: map[string]uint64{}, loadCounts: map[string]int{},
	}
	for _, c := range cfg.CachedCheckpoints {
		e.cached[c] = true
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+engine.OrdersPath, e.handleOrder)
	mux.HandleFunc("POST /v1/chat/completions", e.handleCompletion)
	mux.HandleFunc("POST /v1/completions", e.handleCompletion)
	e.server = &http.Server{Handler: withIdentity(mux, cfg.Incarnation, nil), ReadHeaderTimeout: readHeaderTimeout}
	e.announcer = newAnnouncer(cfg.Entries, e.announcement)
	go func() {
		defer close(e.done)
		_ = e.server.Serve(cfg.Listener)
	}()
	return e
}

// Address returns the engine's IP:PORT.
func (e *Engine) Address() string { return e.cfg.Listener.Addr().String() }

func (e *Engine) announcement() *schema.AnnounceRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	request := &schema.AnnounceRequest{
		Name: e.cfg.Name, Incarnation: e.cfg.Incarnation, Kind: "engine", Address: e.Address(),
		DataCentre: e.cfg.DataCentre, AcceleratorMib: e.cfg.AcceleratorMiB,
		ChecksFencing: e.cfg.ChecksFencing, Leaving: e.leaving, Outstanding: uint32(e.outstanding),
	}
	for t := range e.loaded {
		request.Loaded = append(request.Loaded, t)
	}
	slices.Sort(request.Loaded)
	for t := range e.cached {
		request.Cached = append(request.Cached, &schema.CachedAnnouncement{Target: t, Tier: "disk"})
	}
	slices.SortFunc(request.GetCached(), func(a, b *schema.CachedAnnouncement) int {
		if a.GetTarget() < b.GetTarget() {
			return -1
		}
		return 1
	})
	return request
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	o := &schema.Order{}
	if err != nil || protojson.Unmarshal(data, o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	reply := e.executeOrder(o)
	out, err := protojson.Marshal(reply)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(out)
}

func (e *Engine) executeOrder(o *schema.Order) *schema.OrderReply {
	reply := &schema.OrderReply{Fencing: o.GetFencing(), Outcome: engine.OutcomeDone, Incarnation: e.cfg.Incarnation}
	if reason := e.checkOrder(o); reason != "" {
		reply.Outcome, reply.Reason = engine.OutcomeRefused, reason
		return reply
	}
	if o.GetKind() == engine.KindUnload {
		e.mu.Lock()
		delete(e.loaded, o.GetTarget())
		e.mu.Unlock()
		e.announcer.announceNow()
		return reply
	}
	if err := e.load(o); err != nil {
		reply.Outcome, reply.Reason = engine.OutcomeFailed, err.Error()
	}
	e.announcer.announceNow()
	return reply
}

// checkOrder returns the reason to refuse an order, or "" to accept it.
func (e *Engine) checkOrder(o *schema.Order) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders++
	if !e.cfg.ChecksFencing {
		return ""
	}
	if o.GetIncarnation() != e.cfg.Incarnation {
		return "another incarnation"
	}
	if o.GetFencing() < e.highestFencing[o.GetTarget()] {
		return fmt.Sprintf("order %d was seen", e.highestFencing[o.GetTarget()])
	}
	e.highestFencing[o.GetTarget()] = o.GetFencing()
	return ""
}

func (e *Engine) load(o *schema.Order) error {
	e.mu.Lock()
	_, loaded := e.loaded[o.GetTarget()]
	onDisk := e.cached[o.GetTarget()]
	e.mu.Unlock()
	if loaded {
		return nil
	}
	if e.cfg.Load != nil {
		if err := e.cfg.Load(o); err != nil {
			return err
		}
	}
	time.Sleep(e.cfg.LoadTime)
	if onDisk || e.cfg.WeightStore == "" {
		if e.cfg.DiskMiBPerSecond > 0 {
			time.Sleep(time.Duration(float64(o.GetMemoryMib()) / e.cfg.DiskMiBPerSecond * float64(time.Second)))
		}
	} else if err := fetchWeights(http.DefaultClient, e.cfg.WeightStore, o.GetTarget(), o.GetVersion(), o.GetMemoryMib()); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cached[o.GetTarget()] = true
	e.loaded[o.GetTarget()] = loadedTarget{o}
	e.loadCounts[o.GetTarget()]++
	if e.memoryUsed(o.GetAccelerator()) > e.cfg.AcceleratorMiB[o.GetAccelerator()] {
		e.overcommits++
	}
	return nil
}

func (e *Engine) memoryUsed(accelerator uint32) uint64 {
	var used uint64
	for _, l := range e.loaded {
		if l.order.GetAccelerator() == accelerator {
			used += l.order.GetMemoryMib()
		}
	}
	return used
}

func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Model  string `json:"model"`
		Stream bool   `json:"stream"`
	}
	data, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(data, &body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(data))
	id := r.Header.Get(routing.HeaderRequestID)
	w.Header().Set(routing.HeaderRequestID, id)
	if !e.beginRequest(body.Model) {
		w.Header().Set(routing.HeaderOutcome, "not-run")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.endRequest()
	if e.cfg.Complete != nil {
		e.cfg.Complete(w, r, body.Model)
		return
	}
	w.Header().Set(routing.HeaderOutstanding, fmt.Sprint(e.Outstanding()))
	if body.Stream {
		e.streamCompletion(w, r, id, body.Model)
		return
	}
	time.Sleep(time.Duration(e.cfg.Tokens) * e.cfg.TokenTime)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(completion(id, body.Model, e.cfg.Name, e.cfg.Tokens))
}

func (e *Engine) beginRequest(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.loaded[model]; !ok {
		return false
	}
	e.outstanding++
	e.requests++
	return true
}

func (e *Engine) endRequest() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.outstanding--
}

func (e *Engine) streamCompletion(w http.ResponseWriter, r *http.Request, id, model string) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher, _ := w.(http.Flusher)
	var from int
	_, _ = fmt.Sscan(r.Header.Get("Last-Event-ID"), &from)
	for i := from + 1; i <= e.cfg.Tokens; i++ {
		time.Sleep(e.cfg.TokenTime)
		data, err := json.Marshal(completionChunk(id, model, i))
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, data)
		flusher.Flush()
	}
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
	flusher.Flush()
}

func completion(id, model, server string, tokens int) map[string]any {
	text := ""
	for i := 1; i <= tokens; i++ {
		text += fmt.Sprintf("w%d ", i)
	}
	return map[string]any{
		"id": id, "object": "chat.completion", "model": model, "server": server,
		"choices": []any{map[string]any{"index": 0, "finish_reason": "stop", "message": map[string]any{"role": "assistant", "content": text}}},
		"usage":   map[string]any{"completion_tokens": tokens},
	}
}

func completionChunk(id, model string, n int) map[string]any {
	return map[string]any{
		"id": id, "object": "chat.completion.chunk", "model": model,
		"choices": []any{map[string]any{"index": 0, "delta": map[string]any{"content": fmt.Sprintf("w%d ", n)}}},
	}
}

// Outstanding returns the number of requests in progress.
func (e *Engine) Outstanding() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.outstanding
}

// Requests returns the number of requests that were started.
func (e *Engine) Requests() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.requests
}

// Loads returns the number of loads of a target.
func (e *Engine) Loads(target string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.loadCounts[target]
}

// Loaded returns the sorted targets in accelerator memory.
func (e *Engine) Loaded() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []string
	for t := range e.loaded {
		out = append(out, t)
	}
	slices.Sort(out)
	return out
}

// Overcommits returns the number of loads that exceeded the accelerator's memory.
func (e *Engine) Overcommits() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.overcommits
}

// Leave announces to all known entries that the engine is about to stop.
func (e *Engine) Leave() {
	e.mu.Lock()
	e.leaving = true
	e.mu.Unlock()
	for range leaveAnnouncements {
		e.announcer.announce()
	}
}

// Close stops the engine at once.
func (e *Engine) Close() {
	e.announcer.close()
	_ = e.server.Close()
	<-e.done
}
