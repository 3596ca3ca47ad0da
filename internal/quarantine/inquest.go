package quarantine

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"fennelyard/internal/relay"
)

const (
	// inquestAskers is how many addresses are tried at once. One that does not answer
	// takes half a second, and a rack that loses its power has a dozen servers.
	inquestAskers = 4
	// inquestQueue bounds the servers that wait to be tried.
	inquestQueue = 64
	// inquestKeys bounds the requests that are remembered of a server until it is known
	// whether it has ended: as many as run at an engine.
	inquestKeys = 128
	// inquestTries and inquestPause are how often an address is tried that does not refuse:
	// the last connections of a process that ends may close before its port does, and a packet
	// may be lost.
	inquestTries = 3
	inquestPause = 50 * time.Millisecond
	// inquestForget is how long what was found of a server is kept. Its attempts break off
	// within moments of each other.
	inquestForget = 10 * time.Second
	// keysLogged bounds the keys in a log line.
	keysLogged = 16
)

// ServerProberConfig configures an Inquest. All fields are required.
type ServerProberConfig struct {
	Probe func(ctx context.Context, address string) relay.Presence
	// OnEnded is told of the requests whose attempts broke off as their server ended.
	OnEnded func(server string, keys []Key)
	Log     logr.Logger
}

// ServerProber finds out, where attempts break off, whether the server has ended: then the
// requests that it ran may be the reason. An answer that is lost, a path that is cut and
// a server that is slow say nothing about a request. All methods are safe from any
// goroutine.
type ServerProber struct {
	cfg   ServerProberConfig
	queue chan *inquiry
	ctx   context.Context
	stop  context.CancelFunc
	done  chan struct{}

	// asking is the number of servers whose end is being looked into, for those who need not
	// look.
	asking atomic.Int64

	mu sync.Mutex
	// inquiries are by the server's incarnation; guarded by mu.
	inquiries map[string]*inquiry
	// concluded is closed and replaced when an inquiry comes to its end; guarded by mu.
	concluded chan struct{}
}

// inquiry is about one incarnation of a server.
type inquiry struct {
	server, address string
	// The fields below are guarded by the inquest's mutex. keys are of the attempts that
	// broke off there and are not told yet.
	keys []Key
	// asking is set until the address has been tried and the requests are accused.
	asking bool
	// ended is set once the server is known to have ended, which it stays.
	ended bool
	// found is when the address was last tried.
	found time.Time
}

// NewServerProber starts an inquest.
func NewServerProber(cfg ServerProberConfig) *ServerProber {
	q := &ServerProber{
		cfg: cfg, queue: make(chan *inquiry, inquestQueue), done: make(chan struct{}),
		inquiries: map[string]*inquiry{}, concluded: make(chan struct{}),
	}
	q.ctx, q.stop = context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for range inquestAskers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			q.run()
		}()
	}
	go func() {
		defer close(q.done)
		wg.Wait()
	}()
	return q
}

// Close ends the inquest.
func (q *ServerProber) Close() {
	q.stop()
	<-q.done
}

// AttemptFailed notes that an attempt broke off at a server.
func (q *ServerProber) AttemptFailed(server, address string, key Key) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.forget(time.Now())
	i := q.inquiries[server]
	if i == nil {
		i = &inquiry{server: server, address: address}
		q.inquiries[server] = i
	}
	if len(i.keys) < inquestKeys && !slices.Contains(i.keys, key) {
		i.keys = append(i.keys, key)
	}
	if i.asking {
		return
	}
	select {
	case q.queue <- i:
		i.asking = true
		q.asking.Add(1)
	default:
		// Nothing is learned of this server until its next attempt breaks off.
		q.cfg.Log.Info("server not asked after", "server", server, "waiting", inquestQueue)
	}
}

// Idle reports whether no server's end is being looked into.
func (q *ServerProber) Idle() bool { return q.asking.Load() == 0 }

// Pending returns of how many servers, at which attempts of a request broke off, it is not known
// yet whether they have ended, and a channel that is closed when the next inquiry is over.
func (q *ServerProber) Pending(key Key) (servers int, concluded <-chan struct{}) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, i := range q.inquiries {
		if i.asking && slices.Contains(i.keys, key) {
			servers++
		}
	}
	return servers, q.concluded
}

// forget drops what was found long ago; mu is held.
func (q *ServerProber) forget(now time.Time) {
	for server, i := range q.inquiries {
		if !i.asking && now.Sub(i.found) > inquestForget {
			delete(q.inquiries, server)
		}
	}
}

func (q *ServerProber) run() {
	for {
		select {
		case <-q.ctx.Done():
			return
		case i := <-q.queue:
			q.ask(i)
		}
	}
}

// ask tries an address unless its server is known to have ended.
func (q *ServerProber) ask(i *inquiry) {
	q.mu.Lock()
	known := i.ended
	q.mu.Unlock()
	presence := relay.PresenceRefused
	for try := 0; !known && try < inquestTries; try++ {
		if try > 0 && !q.pause() {
			return
		}
		if presence = q.cfg.Probe(q.ctx, i.address); presence == relay.PresenceRefused {
			break
		}
	}
	if q.ctx.Err() != nil {
		return
	}
	q.conclude(i, presence)
}

func (q *ServerProber) pause() bool {
	select {
	case <-q.ctx.Done():
		return false
	case <-time.After(inquestPause):
		return true
	}
}

// conclude tells what an address has answered. Until all are accused who ran there the
// inquiry stays open: what repeats meanwhile has to wait for just that.
func (q *ServerProber) conclude(i *inquiry, presence relay.Presence) {
	q.mu.Lock()
	defer q.mu.Unlock()
	i.ended = presence == relay.PresenceRefused
	for told := 0; ; {
		keys := slices.Clone(i.keys[told:])
		told = len(i.keys)
		q.cfg.Log.Info("attempts broke off", "server", i.server, "address", i.address, "answers", presence.String(),
			"ended", i.ended, "attempts", len(keys), "keys", keyTexts(keys))
		if !i.ended {
			break
		}
		q.mu.Unlock()
		q.cfg.OnEnded(i.server, keys)
		q.mu.Lock()
		if told == len(i.keys) {
			break
		}
	}
	i.keys, i.asking, i.found = nil, false, time.Now()
	q.asking.Add(-1)
	close(q.concluded)
	q.concluded = make(chan struct{})
}

// keyTexts returns a few keys as a log line has them.
func keyTexts(keys []Key) []string {
	var out []string
	for _, k := range keys[:min(len(keys), keysLogged)] {
		out = append(out, k.String())
	}
	return out
}
