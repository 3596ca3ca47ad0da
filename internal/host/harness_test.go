package host_test

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/trace"

	"fennelyard"
	"fennelyard/internal/demo"
	"fennelyard/internal/host"
	"fennelyard/internal/operator"
	"fennelyard/internal/schema"
	"fennelyard/internal/settings"
	"fennelyard/internal/standin"
)

const (
	testCustomer = "kapiti"
	testModel    = "sorter"
	testService  = "regdesk"
	testTimeout  = 30 * time.Second
)

// harness runs one host with both roles and with simulated backend servers.
type harness struct {
	t        testing.TB
	layout   *demo.Layout
	host     *host.Host
	tracer   trace.Tracer
	operator *operator.Client
	log      lockedBuffer
}

// lockedBuffer collects the log of a host. All methods are safe for concurrent use.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

func newHarness(t testing.TB, extra string) *harness {
	t.Helper()
	return newTracedHarness(t, extra, nil)
}

func newTracedHarness(t testing.TB, extra string, tracer trace.Tracer) *harness {
	t.Helper()
	layout, err := demo.NewLayout(1, 1, t.TempDir(), extra)
	require.NoError(t, err)
	h := &harness{t: t, layout: layout, tracer: tracer, operator: operator.NewClient(layout.Hosts()[0].Operator)}
	h.start()
	t.Cleanup(func() {
		h.host.Close()
		if t.Failed() {
			t.Logf("log of the host:\n%s", h.log.String())
		}
	})
	return h
}

func (h *harness) start() {
	h.t.Helper()
	s, err := settings.Parse("bed.yaml", []byte(h.layout.YAML("host-1")))
	require.NoError(h.t, err)
	h.host, err = host.New(host.Config{Settings: s, Log: logr.FromSlogHandler(slog.NewJSONHandler(&h.log, nil)), Tracer: h.tracer})
	require.NoError(h.t, err)
	h.eventually("a ready host", h.host.Ready)
}

// restart stops the host without draining and starts it again from its disk.
func (h *harness) restart() {
	h.host.Close()
	h.start()
}

// eventually waits until a condition holds and fails the test after testTimeout.
func (h *harness) eventually(description string, condition func() bool) {
	h.t.Helper()
	limit := time.After(testTimeout)
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-limit:
			require.Fail(h.t, "condition not met: "+description)
		case <-ticker.C:
		}
	}
}

func listen(t testing.TB) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.71:0")
	require.NoError(t, err)
	return l
}

func (h *harness) engine(name string, configure func(*standin.EngineConfig)) *standin.Engine {
	h.t.Helper()
	cfg := standin.EngineConfig{
		Listener: listen(h.t), Name: name, DataCentre: "hall-a", Entries: h.layout.Backends(),
		AcceleratorMiB: []uint64{24576}, ChecksFencing: true,
	}
	if configure != nil {
		configure(&cfg)
	}
	e := standin.NewEngine(cfg)
	h.t.Cleanup(e.Close)
	return e
}

func (h *harness) application(name string, configure func(*standin.ApplicationConfig)) *standin.Application {
	h.t.Helper()
	cfg := standin.ApplicationConfig{
		Listener: listen(h.t), Name: name, DataCentre: "hall-a", Service: testService, Entries: h.layout.Backends(),
	}
	if configure != nil {
		configure(&cfg)
	}
	a := standin.NewApplication(cfg)
	h.t.Cleanup(a.Close)
	return a
}

func (h *harness) awaitServers(n int) {
	h.t.Helper()
	h.eventually(fmt.Sprintf("%d servers", n), func() bool { return len(h.status().GetServers()) == n })
}

func (h *harness) status() *schema.StatusView {
	s, err := h.operator.Status(context.Background())
	if err != nil {
		return nil
	}
	return s
}

// configure applies a configuration with the model and the service of these tests and
// waits until it is in force.
func (h *harness) configure(replicas uint32) {
	h.t.Helper()
	ctx := context.Background()
	list, err := h.operator.Intents(ctx)
	require.NoError(h.t, err)
	reply, err := h.operator.Apply(ctx, &schema.IntentRequest{
		CommandId: "apply", Operator: "ann", BaseRevision: list.GetRevision(), Intent: &schema.Intent{
			Name: "bed", Customer: &schema.CustomerIntent{Name: testCustomer},
			Models:   []*schema.ModelIntent{{Name: testModel, Version: "1", MemoryMib: 8192, MaxReplicas: replicas}},
			Services: []*schema.ServiceIntent{{Name: testService, IdempotentMethods: []string{http.MethodPut}}},
		},
	})
	require.NoError(h.t, err)
	reply, err = h.operator.Decide(ctx, reply.GetPlan().GetNumber(), true, &schema.DecisionRequest{CommandId: "confirm", Operator: "ann"})
	require.NoError(h.t, err)
	require.Equal(h.t, "ok", reply.GetResult(), reply.GetReason())
	h.eventually("the configuration in force", func() bool { return h.status().GetEntryRevision() >= reply.GetRevision() })
}

func (h *harness) client() *fennelyard.Client {
	return fennelyard.NewClient(fennelyard.ClientOptions{
		Addresses: h.layout.Callers(), Customer: testCustomer, Deadline: testTimeout,
	})
}

// burst sends completions from concurrent callers; all must be served.
func (h *harness) burst(callers int) {
	h.t.Helper()
	var wg sync.WaitGroup
	for range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			_, err := h.client().Complete(context.Background(), []byte(completion(testModel)))
			assert.NoError(h.t, err)
		}()
	}
	wg.Wait()
}

func (h *harness) callerURL(path string) string { return "http://" + h.layout.Hosts()[0].Caller + path }

// truncatingListener closes each accepted connection after a number of bytes.
type truncatingListener struct {
	net.Listener
	// readLimit and writeLimit are the bytes that a connection accepted from now on
	// transfers before it is closed; negative for no limit.
	readLimit  atomic.Int64
	writeLimit atomic.Int64
}

func newTruncatingListener(t testing.TB) *truncatingListener {
	l := &truncatingListener{Listener: listen(t)}
	l.readLimit.Store(-1)
	l.writeLimit.Store(-1)
	return l
}

func (l *truncatingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &truncatingConn{Conn: c, readLimit: l.readLimit.Load(), writeLimit: l.writeLimit.Load()}, nil
}

type truncatingConn struct {
	net.Conn
	mu         sync.Mutex
	readLimit  int64
	writeLimit int64
}

func (c *truncatingConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	left := c.readLimit
	c.mu.Unlock()
	if left == 0 {
		_ = c.Close()
		return 0, net.ErrClosed
	}
	if left > 0 && int64(len(p)) > left {
		p = p[:left]
	}
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readLimit > 0 {
		c.readLimit -= int64(n)
	}
	return n, err
}

func (c *truncatingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeLimit < 0 {
		return c.Conn.Write(p)
	}
	n := min(int64(len(p)), c.writeLimit)
	_, _ = c.Conn.Write(p[:n])
	c.writeLimit -= n
	if c.writeLimit == 0 {
		_ = c.Close()
		return int(n), net.ErrClosed
	}
	return int(n), nil
}

// silentListener can silence its open connections permanently: they stay open and
// accept data, but deliver none. New connections work.
type silentListener struct {
	net.Listener
	mu       sync.Mutex
	silenced chan struct{}
}

func newSilentListener(t testing.TB) *silentListener {
	return &silentListener{Listener: listen(t), silenced: make(chan struct{})}
}

// silence silences all open connections.
func (l *silentListener) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.silenced)
	l.silenced = make(chan struct{})
}

func (l *silentListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return &silentConn{Conn: c, silenced: l.silenced, closed: make(chan struct{})}, nil
}

type silentConn struct {
	net.Conn
	silenced chan struct{}
	closed   chan struct{}
	once     sync.Once
}

func (c *silentConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	select {
	case <-c.silenced:
		<-c.closed
		return 0, net.ErrClosed
	default:
		return n, err
	}
}

func (c *silentConn) Write(p []byte) (int, error) {
	select {
	case <-c.silenced:
		return len(p), nil
	default:
		return c.Conn.Write(p)
	}
}

func (c *silentConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
