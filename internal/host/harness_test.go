package host_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

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
	bedCustomer = "kapiti"
	bedModel    = "sorter"
	bedService  = "regdesk"
	bedWait     = 30 * time.Second
)

// bed is one host with both roles and fakes at its interfaces.
type bed struct {
	t      testing.TB
	layout *demo.Layout
	host   *host.Host
	tracer trace.Tracer
	oper   *operator.Client
}

func newBed(t testing.TB, extra string) *bed {
	t.Helper()
	return newTracedBed(t, extra, nil)
}

func newTracedBed(t testing.TB, extra string, tracer trace.Tracer) *bed {
	t.Helper()
	layout, err := demo.NewLayout(1, 1, t.TempDir(), extra)
	require.NoError(t, err)
	b := &bed{t: t, layout: layout, tracer: tracer, oper: operator.NewClient(layout.Hosts()[0].Operator)}
	b.start()
	t.Cleanup(func() { b.host.Close() })
	return b
}

func (b *bed) start() {
	b.t.Helper()
	s, err := settings.Parse("bed.yaml", []byte(b.layout.YAML("host-1")))
	require.NoError(b.t, err)
	b.host, err = host.New(host.Config{Settings: s, Tracer: b.tracer})
	require.NoError(b.t, err)
	b.eventually("a ready host", b.host.Ready)
}

// restart stops the host at once and starts it from its disk.
func (b *bed) restart() {
	b.host.Close()
	b.start()
}

func (b *bed) eventually(what string, holds func() bool) {
	b.t.Helper()
	limit := time.After(bedWait)
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for !holds() {
		select {
		case <-limit:
			require.Fail(b.t, "did not come to pass: "+what)
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

func (b *bed) engine(name string, alter func(*standin.EngineConfig)) *standin.Engine {
	b.t.Helper()
	cfg := standin.EngineConfig{
		Listener: listen(b.t), Name: name, DataCentre: "hall-a", Entries: b.layout.Backends(),
		AcceleratorMiB: []uint64{24576}, ChecksFencing: true,
	}
	if alter != nil {
		alter(&cfg)
	}
	e := standin.NewEngine(cfg)
	b.t.Cleanup(e.Close)
	return e
}

func (b *bed) application(name string, alter func(*standin.ApplicationConfig)) *standin.Application {
	b.t.Helper()
	cfg := standin.ApplicationConfig{
		Listener: listen(b.t), Name: name, DataCentre: "hall-a", Service: bedService, Entries: b.layout.Backends(),
	}
	if alter != nil {
		alter(&cfg)
	}
	a := standin.NewApplication(cfg)
	b.t.Cleanup(a.Close)
	return a
}

func (b *bed) awaitServers(n int) {
	b.t.Helper()
	b.eventually(fmt.Sprintf("%d servers", n), func() bool { return len(b.status().GetServers()) == n })
}

func (b *bed) status() *schema.StatusView {
	s, err := b.oper.Status(context.Background())
	if err != nil {
		return nil
	}
	return s
}

// configure puts the model and the service of these tests in force.
func (b *bed) configure(replicas uint32) {
	b.t.Helper()
	ctx := context.Background()
	list, err := b.oper.Intents(ctx)
	require.NoError(b.t, err)
	reply, err := b.oper.Apply(ctx, &schema.IntentRequest{
		CommandId: "apply", Operator: "ann", BaseRevision: list.GetRevision(), Intent: &schema.Intent{
			Name: "bed", Customer: &schema.CustomerIntent{Name: bedCustomer},
			Models:   []*schema.ModelIntent{{Name: bedModel, Version: "1", MemoryMib: 8192, MaxReplicas: replicas}},
			Services: []*schema.ServiceIntent{{Name: bedService, IdempotentMethods: []string{http.MethodPut}}},
		},
	})
	require.NoError(b.t, err)
	reply, err = b.oper.Decide(ctx, reply.GetPlan().GetNumber(), true, &schema.DecisionRequest{CommandId: "confirm", Operator: "ann"})
	require.NoError(b.t, err)
	require.Equal(b.t, "ok", reply.GetResult(), reply.GetReason())
	b.eventually("the configuration in force", func() bool { return b.status().GetEntryRevision() >= reply.GetRevision() })
}

func (b *bed) client() *fennelyard.Client {
	return fennelyard.NewClient(fennelyard.ClientOptions{
		Addresses: b.layout.Callers(), Customer: bedCustomer, Deadline: bedWait,
	})
}

// burst sends completions from many callers at once; all must be served.
func (b *bed) burst(callers int) {
	b.t.Helper()
	var wg sync.WaitGroup
	for range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			_, err := b.client().Complete(context.Background(), []byte(completion(bedModel)))
			assert.NoError(b.t, err)
		}()
	}
	wg.Wait()
}

func (b *bed) url(path string) string { return "http://" + b.layout.Hosts()[0].Caller + path }

// cutListener cuts its connections after a number of bytes.
type cutListener struct {
	net.Listener
	// reads and writes are the bytes that pass before the cut; below 0: all.
	reads  atomic.Int64
	writes atomic.Int64
}

func newCutListener(t testing.TB) *cutListener {
	l := &cutListener{Listener: listen(t)}
	l.reads.Store(-1)
	l.writes.Store(-1)
	return l
}

func (l *cutListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &cutConn{Conn: c, reads: l.reads.Load(), writes: l.writes.Load()}, nil
}

type cutConn struct {
	net.Conn
	mu     sync.Mutex
	reads  int64
	writes int64
}

func (c *cutConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	left := c.reads
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
	if c.reads > 0 {
		c.reads -= int64(n)
	}
	return n, err
}

func (c *cutConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes < 0 {
		return c.Conn.Write(p)
	}
	n := min(int64(len(p)), c.writes)
	_, _ = c.Conn.Write(p[:n])
	c.writes -= n
	if c.writes == 0 {
		_ = c.Close()
		return int(n), net.ErrClosed
	}
	return int(n), nil
}

// silentListener can make its open connections go silent for good: they stay
// open, take what is sent and bring nothing, while new ones work.
type silentListener struct {
	net.Listener
	mu    sync.Mutex
	epoch chan struct{}
}

func newSilentListener(t testing.TB) *silentListener {
	return &silentListener{Listener: listen(t), epoch: make(chan struct{})}
}

// silence strikes every connection that is open now.
func (l *silentListener) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.epoch)
	l.epoch = make(chan struct{})
}

func (l *silentListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return &silentConn{Conn: c, silenced: l.epoch, closed: make(chan struct{})}, nil
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
