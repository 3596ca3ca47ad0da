package role_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/gateway"
	"fennelyard/internal/roster"
	"fennelyard/internal/schema"
)

const (
	backendPort = 80
	// backendRun is how long a backend server runs a request, and backendDown how long
	// one that has ended is down.
	backendRun  = 20 * time.Millisecond
	backendDown = 3 * time.Second
	// announceEvery is the time between a server's announcements.
	announceEvery = time.Second
	// harmful is the body of a request under which a server ends.
	harmful = "harmful"
)

// backends are the backend servers of a site's only pool, and what reaches them. A server
// ends that begins to run a request with the harmful body, and is back after backendDown
// under another id.
type backends struct {
	s    *site
	stop chan struct{}
	wg   sync.WaitGroup

	mu sync.Mutex
	// starts is how many incarnations there were; guarded by mu, as all below.
	starts int
	// processes are those that live.
	processes map[*backendProcess]bool
	// reached is when the harmful request reached a server, and ended when a server ended
	// under it.
	reached, ended []time.Time
}

// backendCodec speaks to the stand-ins.
func backendCodec() gateway.Codec {
	return gateway.Codec{
		ParseRequest:     func(r *http.Request) gateway.RequestInfo { return gateway.RequestInfo{ID: r.Header.Get("X-Id")} },
		SetForwardHeader: func(h http.Header, m gateway.ForwardInfo) { h.Set("X-For", m.Server) },
		MatchesRequest:   func(a http.Header, id string) bool { return a.Get("X-Id") == id },
		ParseResponse: func(status int, _ http.Header) gateway.ResponseInfo {
			return gateway.ResponseInfo{NotRun: status == http.StatusServiceUnavailable, Signed: true}
		},
	}
}

// startBackends starts servers, and puts a configuration in force with a route for requests
// that may be repeated and one for those that may not.
func startBackends(s *site, n int) *backends {
	b := &backends{s: s, stop: make(chan struct{}), processes: map[*backendProcess]bool{}}
	route := func(name string, repeat schema.Repeat) *schema.Route {
		return &schema.Route{
			Name: name, Host: "h.example", Prefix: "/" + name + "/", Repeat: repeat, TimeoutMs: 3000, AimMs: 300, MaxAttempts: 2,
			Shares: []*schema.Share{{Pool: "app", Weight: 1}},
		}
	}
	require.NoError(s.t, s.control[s.leader()].PutConfiguration(context.Background(), &schema.PutConfiguration{
		Configuration: &schema.Configuration{Version: 2}, Pools: []*schema.Pool{{Name: "app"}},
		Routes: []*schema.Route{route("once", schema.Repeat_REPEAT_NEVER), route("again", schema.Repeat_REPEAT_WHOLE)},
	}))
	for i := range n {
		b.wg.Add(1)
		go func() {
			defer b.wg.Done()
			b.live(fmt.Sprintf("10.0.2.%d:%d", i+1, backendPort))
		}()
	}
	s.await(5*time.Second, "the servers", func() bool {
		for _, e := range s.entries {
			if e.ReadyServers() != n {
				return false
			}
		}
		return true
	})
	return b
}

// close ends all servers.
func (b *backends) close() {
	close(b.stop)
	b.wg.Wait()
}

// live runs one server after the other at an address.
func (b *backends) live(address string) {
	for {
		b.mu.Lock()
		b.starts++
		id := fmt.Sprint("i-", b.starts)
		b.mu.Unlock()
		b.run(id, address)
		select {
		case <-b.stop:
			return
		case <-time.After(backendDown):
		}
	}
}

// run is one server's life.
func (b *backends) run(id, address string) {
	l, err := b.s.network.Listen("tcp", address)
	if err != nil {
		return
	}
	p := &backendProcess{b: b, id: id, l: l, ended: make(chan struct{})}
	b.hold(p, true)
	defer b.hold(p, false)
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		p.accept()
	}()
	for sequence, tick := uint64(1), time.NewTicker(announceEvery); ; sequence++ {
		b.announce(roster.Announcement{ID: id, Pool: "app", Address: address, Slots: 64, Sequence: sequence})
		select {
		case <-tick.C:
			continue
		case <-p.ended:
		case <-b.stop:
			p.end()
		}
		tick.Stop()
		wg.Wait()
		return
	}
}

func (b *backends) hold(p *backendProcess, lives bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if lives {
		b.processes[p] = true
	} else {
		delete(b.processes, p)
	}
}

// endSome ends some servers at once, whatever they run.
func (b *backends) endSome(n int) {
	b.mu.Lock()
	var some []*backendProcess
	for p := range b.processes {
		if len(some) < n {
			some = append(some, p)
		}
	}
	b.mu.Unlock()
	for _, p := range some {
		p.end()
	}
}

// announce tells any control host that takes it.
func (b *backends) announce(a roster.Announcement) {
	b.s.controlMu.Lock()
	hosts := make([]announced, 0, len(b.s.control))
	for _, c := range b.s.control {
		hosts = append(hosts, c)
	}
	b.s.controlMu.Unlock()
	for _, c := range hosts {
		if c.Announce(context.Background(), a) == nil {
			return
		}
	}
}

// announced takes servers' announcements.
type announced interface {
	Announce(ctx context.Context, a roster.Announcement) error
}

// backendProcess is one server's process.
type backendProcess struct {
	b     *backends
	id    string
	l     net.Listener
	once  sync.Once
	ended chan struct{}

	mu    sync.Mutex
	conns []net.Conn
}

// end closes everything that the process has open.
func (p *backendProcess) end() {
	p.once.Do(func() {
		_ = p.l.Close()
		p.mu.Lock()
		defer p.mu.Unlock()
		close(p.ended)
		for _, conn := range p.conns {
			_ = conn.Close()
		}
	})
}

func (p *backendProcess) accept() {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		conn, err := p.l.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		p.conns = append(p.conns, conn)
		p.mu.Unlock()
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer func() { _ = conn.Close() }()
			p.serve(conn)
		}()
	}
}

func (p *backendProcess) serve(conn net.Conn) {
	q, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	p.b.note(string(body), &p.b.reached)
	select {
	case <-p.ended:
		return
	case <-time.After(backendRun):
	}
	if string(body) == harmful {
		p.b.note(harmful, &p.b.ended)
		p.end()
		return
	}
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 2\r\n\r\nok", q.Header.Get("X-Id"))
}

// note remembers when something happened to the harmful request.
func (b *backends) note(body string, what *[]time.Time) {
	if body != harmful {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	*what = append(*what, time.Now())
}

// endedUnder returns how many servers have ended under the harmful request.
func (b *backends) endedUnder() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.ended)
}

// sentAfter returns how often the harmful request reached a server later than some time
// after it had ended the third.
func (b *backends) sentAfter(late time.Duration) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ended) < 3 {
		return 0
	}
	third := slices.SortedFunc(slices.Values(b.ended), time.Time.Compare)[2]
	n := 0
	for _, at := range b.reached {
		if at.Sub(third) > late {
			n++
		}
	}
	return n
}

// reply is what a caller gets.
type reply struct {
	// status is 0 for an answer that breaks off.
	status int
	// after is when the caller is asked to come back, in seconds; 0: it is not.
	after float64
}

// call sends a request to an entry. Others than the site's goroutine may call as well.
func (s *site) call(ip, path, body string) (out reply) {
	e := s.entries[ip]
	q := httptest.NewRequest(http.MethodPost, "http://h.example"+path, strings.NewReader(body))
	q.Header.Set("X-Id", strconv.FormatInt(s.calls.Add(1), 10))
	defer func() {
		if recover() != nil {
			out = reply{}
		}
	}()
	w := httptest.NewRecorder()
	e.Callers().ServeHTTP(w, q)
	after, _ := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
	return reply{w.Code, after}
}
