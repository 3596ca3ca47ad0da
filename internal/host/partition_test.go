package host_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/demo"
	"fennelyard/internal/host"
	"fennelyard/internal/operator"
	"fennelyard/internal/routing"
	"fennelyard/internal/settings"
	"fennelyard/internal/standin"
)

// serverIP is the address of the simulated servers.
const serverIP = "127.0.0.71"

// partitionableHost is a host whose connections to servers can be made to fail.
type partitionableHost struct {
	*host.Host
	caller   string
	operator *operator.Client
	mu       sync.Mutex
	// failure is how new connections to servers fail, nil for not at all; guarded by mu.
	failure func(ctx context.Context) error
}

func (p *partitionableHost) partition(failure func(ctx context.Context) error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failure = failure
}

func (p *partitionableHost) dial(ctx context.Context, address string) (net.Conn, error) {
	p.mu.Lock()
	failure := p.failure
	p.mu.Unlock()
	if failure != nil && strings.HasPrefix(address, serverIP+":") {
		return nil, failure(ctx)
	}
	return routing.Dial(ctx, address)
}

func refuse(context.Context) error { return syscall.ECONNREFUSED }

func hang(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

// newHarnessWithHosts starts a control host and further hosts that can be partitioned from the servers.
func newHarnessWithHosts(t *testing.T, n int) (*harness, []*partitionableHost) {
	t.Helper()
	layout, err := demo.NewLayout(1+n, 1, t.TempDir(), "")
	require.NoError(t, err)
	h := &harness{t: t, layout: layout, operator: operator.NewClient(layout.Hosts()[0].Operator)}
	h.start()
	t.Cleanup(func() { h.host.Close() })
	var out []*partitionableHost
	for _, l := range layout.Hosts()[1:] {
		s, err := settings.Parse("bed.yaml", []byte(layout.YAML(l.Name)))
		require.NoError(t, err)
		p := &partitionableHost{caller: l.Caller, operator: operator.NewClient(l.Operator)}
		p.Host, err = host.New(host.Config{Settings: s, Dial: p.dial})
		require.NoError(t, err)
		t.Cleanup(p.Close)
		out = append(out, p)
	}
	for _, p := range out {
		h.eventually("a ready host", p.Ready)
	}
	return h, out
}

func (h *harness) postTo(address, path, body string, header ...string) response {
	h.t.Helper()
	q, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+address+path, strings.NewReader(body))
	require.NoError(h.t, err)
	q.Header.Set(routing.HeaderCustomer, testCustomer)
	for i := 0; i+1 < len(header); i += 2 {
		q.Header.Set(header[i], header[i+1])
	}
	return h.send(q)
}

// A host with listed peers loses its links to all servers, which the other hosts reach: its callers must be
// served, each booking once.
func TestHostPartitionedFromAllServersServesItsCallers(t *testing.T) {
	for name, failure := range map[string]func(context.Context) error{"refused": refuse, "hanging": hang} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h, hosts := newHarnessWithHosts(t, 2)
			h.engine("engine-1", nil)
			var apps []*standin.Application
			for i := range 2 {
				apps = append(apps, h.application(fmt.Sprint("app-", i), nil))
			}
			h.awaitServers(3)
			h.configure(1)
			cut := hosts[0]
			h.eventually("a request served by the host", func() bool {
				return h.postTo(cut.caller, "/v1/chat/completions", completion(testModel)).status == http.StatusOK
			})
			cut.partition(failure)
			for i := range 12 {
				key := fmt.Sprint("k", i)
				r := h.postTo(cut.caller, "/services/regdesk/enter", "{}", "Idempotency-Key", key)
				require.Equal(t, http.StatusOK, r.status, "%s", r.body)
				require.Equal(t, 1, apps[0].Runs().Count(key)+apps[1].Runs().Count(key))
				r = h.postTo(cut.caller, "/v1/chat/completions", fmt.Sprintf(`{"model":%q,"n":%d}`, testModel, i))
				require.Equal(t, http.StatusOK, r.status, "%s", r.body)
			}
		})
	}
}

// The hosts that carried connections are gone: callers must be refused at once as not run, not after a search
// that lasts until their deadlines.
func TestHostWithoutAnyPathRefusesAtOnce(t *testing.T) {
	t.Parallel()
	h, hosts := newHarnessWithHosts(t, 1)
	var requests atomic.Int64
	for _, name := range []string{"app-1", "app-2"} {
		h.application(name, func(c *standin.ApplicationConfig) {
			c.Handle = func(w http.ResponseWriter, q *http.Request) {
				requests.Add(1)
				w.Header().Set(routing.HeaderRequestID, q.Header.Get(routing.HeaderRequestID))
				_, _ = w.Write([]byte(`{}`))
			}
		})
	}
	h.awaitServers(2)
	h.configure(1)
	cut := hosts[0]
	get := func() response {
		q, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+cut.caller+"/services/regdesk/list", nil)
		require.NoError(t, err)
		q.Header.Set(routing.HeaderCustomer, testCustomer)
		return h.send(q)
	}
	// Each booking opens a connection of its own, and only equal ones prefer the same server.
	booked := 0
	enter := func() int {
		booked++
		return h.postTo(cut.caller, "/services/regdesk/enter", fmt.Sprintf(`{"n":%d}`, booked), "Idempotency-Key", fmt.Sprint("k", booked)).status
	}
	h.eventually("a request served by the host", func() bool { return enter() == http.StatusOK })
	cut.partition(hang)
	h.eventually("a host that has lost its path", func() bool {
		require.Equal(t, http.StatusOK, enter())
		return cut.PathLost()
	})
	before := requests.Load()
	h.host.Close()
	for range 5 {
		r := get()
		require.Equal(t, "no-path", r.code, "%s", r.body)
		require.Equal(t, http.StatusServiceUnavailable, r.status)
		require.Equal(t, "not-run", r.outcome)
		require.NotEmpty(t, r.header.Get("Retry-After"))
	}
	require.Equal(t, before, requests.Load())
}

// A server asks for a cooldown in a response that passed through another host: for the server the request came
// from there, so that both must send it nothing.
func TestCooldownBindsTheHostThatCarriedTheRequest(t *testing.T) {
	t.Parallel()
	h, hosts := newHarnessWithHosts(t, 1)
	var rejecting atomic.Bool
	var requests atomic.Int64
	h.application("app-1", func(c *standin.ApplicationConfig) {
		c.Handle = func(w http.ResponseWriter, q *http.Request) {
			w.Header().Set(routing.HeaderRequestID, q.Header.Get(routing.HeaderRequestID))
			if rejecting.Load() {
				requests.Add(1)
				w.Header().Set(routing.HeaderOutcome, "not-run")
				w.Header().Set("Retry-After", "30")
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			_, _ = w.Write([]byte(`{}`))
		}
	})
	h.awaitServers(1)
	h.configure(1)
	cut := hosts[0]
	enter := func(address, key string) response {
		return h.postTo(address, "/services/regdesk/enter", "{}", "Idempotency-Key", key, routing.HeaderDeadline, "20000")
	}
	h.eventually("a request served by the host", func() bool { return enter(cut.caller, "first").status == http.StatusOK })
	cut.partition(refuse)
	require.Equal(t, http.StatusOK, enter(cut.caller, "through").status)
	rejecting.Store(true)
	for _, address := range []string{cut.caller, h.layout.Hosts()[0].Caller, cut.caller} {
		r := enter(address, "rejected "+address)
		require.Equal(t, http.StatusServiceUnavailable, r.status, "%s", r.body)
		require.Equal(t, "not-run", r.outcome)
	}
	require.Equal(t, int64(1), requests.Load())
}

// The leader restarts, or leads again after another one, and has lost what entries announced to it. An entry that knows it by
// its name alone sent it keep-alives of servers that it did not know: they were recorded as lost after 15 s, for
// good, and no model could be loaded.
func TestLeaderThatStartsAgainLearnsTheServers(t *testing.T) {
	h, hosts := newHarnessWithHosts(t, 1)
	h.engine("engine-1", func(c *standin.EngineConfig) { c.Entries = h.layout.Backends()[1:] })
	h.awaitServers(1)
	h.restart()
	h.eventually("the leader", func() bool { return len(h.status().GetServers()) == 1 })
	h.configure(1)
	h.eventually("a model loaded on the engine", func() bool {
		return h.postTo(hosts[0].caller, "/v1/chat/completions", completion(testModel)).status == http.StatusOK
	})
}
