// Package peer carries calls between the hosts of a deployment over gRPC.
package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"fennelyard/internal/schema"
)

const (
	// maxMessageBytes lets a whole snapshot through in one message.
	maxMessageBytes = 64 << 20
	// A connection on which nothing comes back for pingAfter+pingWait is closed:
	// something between the hosts may have lost track of it while new
	// connections work.
	pingAfter   = 2 * time.Second
	pingWait    = 2 * time.Second
	minPing     = time.Second
	dialBackoff = 500 * time.Millisecond
	// silentLimit is how many calls in a row may time out on one connection
	// before it is replaced by a fresh one.
	silentLimit = 2
)

func flatBackoff() backoff.Config {
	return backoff.Config{BaseDelay: dialBackoff / 5, Multiplier: 1.5, Jitter: 0.2, MaxDelay: dialBackoff}
}

// DialerConfig configures a Dialer. The zero value talks without TLS.
type DialerConfig struct {
	// Credentials are nil for plain TCP.
	Credentials credentials.TransportCredentials
	// Dial connects to an address; nil: over TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Dialer keeps one connection per peer address. It is safe from any goroutine.
type Dialer struct {
	cfg   DialerConfig
	mu    sync.Mutex
	conns map[string]*connection
	// closed is set once no connection may be made any more; guarded by mu.
	closed bool
}

type connection struct {
	conn *grpc.ClientConn
	// silent counts calls in a row that timed out; guarded by Dialer.mu.
	silent int
}

// NewDialer returns a Dialer without connections.
func NewDialer(cfg DialerConfig) *Dialer {
	if cfg.Credentials == nil {
		cfg.Credentials = insecure.NewCredentials()
	}
	return &Dialer{cfg: cfg, conns: map[string]*connection{}}
}

// Client returns a client for a peer; it connects at the first call.
func (d *Dialer) Client(address string) (schema.PeerClient, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		// A call that comes while its host stops would leave a connection that nobody
		// closes, with its goroutines.
		return nil, errors.Newf("dial %s: %w", address, net.ErrClosed)
	}
	if c, ok := d.conns[address]; ok {
		return schema.NewPeerClient(c.conn), nil
	}
	options := []grpc.DialOption{
		grpc.WithTransportCredentials(d.cfg.Credentials),
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: time.Second, Backoff: flatBackoff()}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingAfter, Timeout: pingWait, PermitWithoutStream: true}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
		grpc.WithDisableServiceConfig(),
		grpc.WithUnaryInterceptor(d.watchSilence(address)),
	}
	if d.cfg.Dial != nil {
		options = append(options, grpc.WithContextDialer(d.cfg.Dial))
	}
	conn, err := grpc.NewClient("passthrough:///"+address, options...)
	if err != nil {
		return nil, errors.Newf("dial %s: %w", address, err)
	}
	d.conns[address] = &connection{conn: conn}
	return schema.NewPeerClient(conn), nil
}

// watchSilence replaces a connection on which calls keep timing out. The
// caller sees time-outs to one host while others reach it; the transport's own
// pings take seconds to notice, and a peer that acknowledges at a lower layer
// is never noticed by them.
func (d *Dialer) watchSilence(address string) grpc.UnaryClientInterceptor {
	return func(ctx context.Context, method string, req, reply any, cc *grpc.ClientConn,
		invoke grpc.UnaryInvoker, opts ...grpc.CallOption,
	) error {
		err := invoke(ctx, method, req, reply, cc, opts...)
		d.note(address, cc, status.Code(err) == codes.DeadlineExceeded)
		return err
	}
}

func (d *Dialer) note(address string, cc *grpc.ClientConn, silent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c, ok := d.conns[address]
	if !ok || c.conn != cc {
		return
	}
	if !silent {
		c.silent = 0
		return
	}
	c.silent++
	if c.silent >= silentLimit {
		delete(d.conns, address)
		// Calls in flight on it fail at once and are tried on a fresh one.
		go func() { _ = cc.Close() }()
	}
}

// Reset closes the connection to an address, so that the next call comes on a
// fresh one: a stream that has fallen silent may sit on a connection that
// something between the hosts has lost track of.
func (d *Dialer) Reset(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c, ok := d.conns[address]; ok {
		delete(d.conns, address)
		go func() { _ = c.conn.Close() }()
	}
}

// Close closes all connections.
func (d *Dialer) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	for address, c := range d.conns {
		_ = c.conn.Close()
		delete(d.conns, address)
	}
}

// Handlers answers the calls of peers. A nil field answers Unimplemented.
type Handlers struct {
	Deliver    func(context.Context, *schema.Delivery) (*schema.DeliveryReply, error)
	Hello      func(context.Context, *schema.HelloRequest) (*schema.HelloReply, error)
	Propose    func(context.Context, *schema.ProposeRequest) (*schema.ProposeReply, error)
	Read       func(context.Context, *schema.ReadRequest) (*schema.ReadReply, error)
	Watch      func(*schema.WatchRequest, grpc.ServerStreamingServer[schema.Changes]) error
	SendReport func(context.Context, *schema.Report) (*schema.ReportReply, error)
	Fetch      func(context.Context, *schema.FetchRequest) (*schema.FetchReply, error)
	GiveOrder  func(context.Context, *schema.GiveOrderRequest) (*schema.GiveOrderReply, error)
	Attend     func(grpc.BidiStreamingServer[schema.EntryNews, schema.LeaderNews]) error
	Follow     func(grpc.BidiStreamingServer[schema.HostNews, schema.LeaderNews]) error
}

// ServerConfig configures a Server.
type ServerConfig struct {
	Listener net.Listener
	// Credentials are nil for plain TCP.
	Credentials credentials.TransportCredentials
	Handlers    Handlers
}

// Server answers peers until it is stopped.
type Server struct {
	schema.UnimplementedPeerServer
	h    Handlers
	grpc *grpc.Server
	done chan struct{}
}

// NewServer starts to answer on the listener.
func NewServer(cfg ServerConfig) *Server {
	opts := []grpc.ServerOption{
		grpc.MaxRecvMsgSize(maxMessageBytes), grpc.MaxSendMsgSize(maxMessageBytes),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minPing, PermitWithoutStream: true}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: pingAfter, Timeout: pingWait}),
	}
	if cfg.Credentials != nil {
		opts = append(opts, grpc.Creds(cfg.Credentials))
	}
	s := &Server{h: cfg.Handlers, grpc: grpc.NewServer(opts...), done: make(chan struct{})}
	schema.RegisterPeerServer(s.grpc, s)
	go func() {
		defer close(s.done)
		// It ends with the listener; peers see the refused connection.
		_ = s.grpc.Serve(cfg.Listener)
	}()
	return s
}

// Done is closed when the server has stopped.
func (s *Server) Done() <-chan struct{} { return s.done }

// Stop ends all calls and closes the listener.
func (s *Server) Stop() {
	s.grpc.Stop()
	<-s.done
}

// Deliver implements schema.PeerServer.
func (s *Server) Deliver(ctx context.Context, q *schema.Delivery) (*schema.DeliveryReply, error) {
	return answer(ctx, s.h.Deliver, q)
}

// Hello implements schema.PeerServer.
func (s *Server) Hello(ctx context.Context, q *schema.HelloRequest) (*schema.HelloReply, error) {
	return answer(ctx, s.h.Hello, q)
}

// Propose implements schema.PeerServer.
func (s *Server) Propose(ctx context.Context, q *schema.ProposeRequest) (*schema.ProposeReply, error) {
	return answer(ctx, s.h.Propose, q)
}

// Read implements schema.PeerServer.
func (s *Server) Read(ctx context.Context, q *schema.ReadRequest) (*schema.ReadReply, error) {
	return answer(ctx, s.h.Read, q)
}

// SendReport implements schema.PeerServer.
func (s *Server) SendReport(ctx context.Context, q *schema.Report) (*schema.ReportReply, error) {
	return answer(ctx, s.h.SendReport, q)
}

// Fetch implements schema.PeerServer.
func (s *Server) Fetch(ctx context.Context, q *schema.FetchRequest) (*schema.FetchReply, error) {
	return answer(ctx, s.h.Fetch, q)
}

// Watch implements schema.PeerServer.
func (s *Server) Watch(q *schema.WatchRequest, stream grpc.ServerStreamingServer[schema.Changes]) error {
	if s.h.Watch == nil {
		return status.Error(codes.Unimplemented, "this host has no control role")
	}
	return s.h.Watch(q, stream)
}

// GiveOrder implements schema.PeerServer.
func (s *Server) GiveOrder(ctx context.Context, q *schema.GiveOrderRequest) (*schema.GiveOrderReply, error) {
	return answer(ctx, s.h.GiveOrder, q)
}

// Attend implements schema.PeerServer.
func (s *Server) Attend(stream grpc.BidiStreamingServer[schema.EntryNews, schema.LeaderNews]) error {
	if s.h.Attend == nil {
		return status.Error(codes.Unimplemented, "this host has no control role")
	}
	return s.h.Attend(stream)
}

// Follow implements schema.PeerServer.
func (s *Server) Follow(stream grpc.BidiStreamingServer[schema.HostNews, schema.LeaderNews]) error {
	if s.h.Follow == nil {
		return status.Error(codes.Unimplemented, "this host has no control role")
	}
	return s.h.Follow(stream)
}

func answer[Q, R any](ctx context.Context, h func(context.Context, Q) (R, error), q Q) (R, error) {
	if h == nil {
		var none R
		return none, status.Error(codes.Unimplemented, "this host has no control role")
	}
	return h(ctx, q)
}
