// Package peer implements gRPC calls between the hosts of a deployment.
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
	// maxMessageBytes is large enough for a complete snapshot in one message.
	maxMessageBytes = 64 << 20
	// A connection on which nothing is received for keepaliveTime+keepaliveTimeout is
	// closed: a device between the hosts may have lost its state while new
	// connections work. grpc-go raises keepaliveTime to 10 s at clients, so that the
	// servers notice first; it also sets TCP_USER_TIMEOUT to keepaliveTimeout.
	keepaliveTime    = 2 * time.Second
	keepaliveTimeout = 2 * time.Second
	// minKeepaliveTime is the shortest ping interval that a server accepts from clients.
	minKeepaliveTime = time.Second
	maxDialBackoff   = 500 * time.Millisecond
	// handshakeTimeout is how long a server waits for the beginning of a connection's protocol, also
	// while it stops. A client that is as slow gives up earlier.
	handshakeTimeout = 2 * time.Second
	// windowBytes is how much a peer may send on a stream or a connection before the receiver has
	// read it. A batch of configurations of half a megabyte takes one round trip with it, and
	// eight with HTTP/2's default: seconds between hosts that are short of processor time.
	windowBytes = 1 << 20
	// maxHeaderListBytes bounds the header fields of a call.
	maxHeaderListBytes = 16 << 10
	// maxStreams bounds the calls of a connection at a time. A listed host makes one for each request that must not run
	// twice.
	maxStreams = 1024
	// maxTimeouts is the number of consecutive calls that time out on a connection
	// before it is replaced by a new one.
	maxTimeouts = 2
)

func dialBackoff() backoff.Config {
	return backoff.Config{BaseDelay: maxDialBackoff / 5, Multiplier: 1.5, Jitter: 0.2, MaxDelay: maxDialBackoff}
}

// DialerConfig configures a Dialer. The zero value connects over TCP without TLS.
type DialerConfig struct {
	// Credentials are nil for plain TCP.
	Credentials credentials.TransportCredentials
	// Dial connects to an address; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Dialer maintains one connection per peer address. It is safe for concurrent use.
type Dialer struct {
	cfg   DialerConfig
	mu    sync.Mutex
	conns map[string]*connection
	// closed is set by Close and prevents new connections; guarded by mu.
	closed bool
}

type connection struct {
	conn *grpc.ClientConn
	// timeouts counts consecutive calls that timed out; guarded by Dialer.mu.
	timeouts int
}

// NewDialer returns a Dialer without connections.
func NewDialer(cfg DialerConfig) *Dialer {
	if cfg.Credentials == nil {
		cfg.Credentials = insecure.NewCredentials()
	}
	return &Dialer{cfg: cfg, conns: map[string]*connection{}}
}

// Client returns a client for a peer, which connects at the first call.
func (d *Dialer) Client(address string) (schema.PeerClient, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		// A call during the stop of this host would otherwise leak a connection and
		// its goroutines.
		return nil, errors.Newf("dial %s: %w", address, net.ErrClosed)
	}
	if c, ok := d.conns[address]; ok {
		return schema.NewPeerClient(c.conn), nil
	}
	options := []grpc.DialOption{
		grpc.WithTransportCredentials(d.cfg.Credentials),
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: time.Second, Backoff: dialBackoff()}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout, PermitWithoutStream: true}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
		grpc.WithDisableServiceConfig(), grpc.WithMaxHeaderListSize(maxHeaderListBytes),
		grpc.WithInitialWindowSize(windowBytes), grpc.WithInitialConnWindowSize(windowBytes),
		grpc.WithUnaryInterceptor(d.replaceUnresponsive(address)),
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

// replaceUnresponsive returns an interceptor that replaces a connection on which
// consecutive calls time out, as when one connection to a host fails while others
// work. The keepalive pings of the transport take seconds to detect this, and they do
// not detect a peer that still acknowledges at a lower layer.
func (d *Dialer) replaceUnresponsive(address string) grpc.UnaryClientInterceptor {
	return func(ctx context.Context, method string, req, reply any, cc *grpc.ClientConn,
		invoke grpc.UnaryInvoker, opts ...grpc.CallOption,
	) error {
		err := invoke(ctx, method, req, reply, cc, opts...)
		d.recordCall(address, cc, status.Code(err) == codes.DeadlineExceeded)
		return err
	}
}

func (d *Dialer) recordCall(address string, cc *grpc.ClientConn, timedOut bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c, ok := d.conns[address]
	if !ok || c.conn != cc {
		return
	}
	if !timedOut {
		c.timeouts = 0
		return
	}
	c.timeouts++
	if c.timeouts >= maxTimeouts {
		delete(d.conns, address)
		// Calls in flight on it fail immediately and are retried on a new one.
		go func() { _ = cc.Close() }()
	}
}

// Reset closes the connection to an address, so that the next call opens a new one. A
// silent stream may use a connection whose state was lost by a device between the hosts.
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

// Handlers contains the handlers for calls of peers. Calls without a handler fail with
// Unimplemented.
type Handlers struct {
	Deliver    func(context.Context, *schema.Delivery) (*schema.DeliveryReply, error)
	DeliverAll func(grpc.BidiStreamingServer[schema.Delivery, schema.DeliveryReply]) error
	Hello      func(context.Context, *schema.HelloRequest) (*schema.HelloReply, error)
	Propose    func(context.Context, *schema.ProposeRequest) (*schema.ProposeReply, error)
	Read       func(context.Context, *schema.ReadRequest) (*schema.ReadReply, error)
	Watch      func(*schema.WatchRequest, grpc.ServerStreamingServer[schema.Changes]) error
	SendReport func(context.Context, *schema.Report) (*schema.ReportReply, error)
	Fetch      func(context.Context, *schema.FetchRequest) (*schema.FetchReply, error)
	GiveOrder  func(context.Context, *schema.GiveOrderRequest) (*schema.GiveOrderReply, error)
	InSync     func(context.Context, *schema.InSyncRequest) (*schema.InSyncReply, error)
	// FindOrigins returns where streams began.
	FindOrigins func(context.Context, *schema.FindOriginsRequest) (*schema.FindOriginsReply, error)
	Attend      func(grpc.BidiStreamingServer[schema.EntryNews, schema.LeaderNews]) error
	Follow      func(grpc.BidiStreamingServer[schema.HostNews, schema.LeaderNews]) error
}

// ServerConfig configures a Server.
type ServerConfig struct {
	Listener net.Listener
	// Credentials are nil for plain TCP.
	Credentials credentials.TransportCredentials
	Handlers    Handlers
}

// Server serves calls of peers until it is stopped.
type Server struct {
	schema.UnimplementedPeerServer
	h    Handlers
	grpc *grpc.Server
	done chan struct{}
}

// NewServer starts to serve on the listener.
func NewServer(cfg ServerConfig) *Server {
	opts := []grpc.ServerOption{
		grpc.MaxRecvMsgSize(maxMessageBytes), grpc.MaxSendMsgSize(maxMessageBytes), grpc.MaxHeaderListSize(maxHeaderListBytes),
		grpc.MaxConcurrentStreams(maxStreams), grpc.SharedWriteBuffer(true), grpc.ConnectionTimeout(handshakeTimeout), grpc.InitialWindowSize(windowBytes), grpc.InitialConnWindowSize(windowBytes),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minKeepaliveTime, PermitWithoutStream: true}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
	}
	if cfg.Credentials != nil {
		opts = append(opts, grpc.Creds(cfg.Credentials))
	}
	s := &Server{h: cfg.Handlers, grpc: grpc.NewServer(opts...), done: make(chan struct{})}
	schema.RegisterPeerServer(s.grpc, s)
	go func() {
		defer close(s.done)
		// Serve returns when the listener is closed; peers see refused connections.
		_ = s.grpc.Serve(cfg.Listener)
	}()
	return s
}

// Done returns a channel that is closed when the server has stopped.
func (s *Server) Done() <-chan struct{} { return s.done }

// Stop cancels all calls and closes the listener.
func (s *Server) Stop() {
	s.grpc.Stop()
	<-s.done
}

// Deliver implements schema.PeerServer.
func (s *Server) Deliver(ctx context.Context, q *schema.Delivery) (*schema.DeliveryReply, error) {
	return handle(ctx, s.h.Deliver, q)
}

// Hello implements schema.PeerServer.
func (s *Server) Hello(ctx context.Context, q *schema.HelloRequest) (*schema.HelloReply, error) {
	return handle(ctx, s.h.Hello, q)
}

// Propose implements schema.PeerServer.
func (s *Server) Propose(ctx context.Context, q *schema.ProposeRequest) (*schema.ProposeReply, error) {
	return handle(ctx, s.h.Propose, q)
}

// Read implements schema.PeerServer.
func (s *Server) Read(ctx context.Context, q *schema.ReadRequest) (*schema.ReadReply, error) {
	return handle(ctx, s.h.Read, q)
}

// SendReport implements schema.PeerServer.
func (s *Server) SendReport(ctx context.Context, q *schema.Report) (*schema.ReportReply, error) {
	return handle(ctx, s.h.SendReport, q)
}

// Fetch implements schema.PeerServer.
func (s *Server) Fetch(ctx context.Context, q *schema.FetchRequest) (*schema.FetchReply, error) {
	return handle(ctx, s.h.Fetch, q)
}

// Watch implements schema.PeerServer.
func (s *Server) Watch(q *schema.WatchRequest, stream grpc.ServerStreamingServer[schema.Changes]) error {
	if s.h.Watch == nil {
		return status.Error(codes.Unimplemented, "this host has no control role")
	}
	return s.h.Watch(q, stream)
}

// DeliverAll implements schema.PeerServer.
func (s *Server) DeliverAll(stream grpc.BidiStreamingServer[schema.Delivery, schema.DeliveryReply]) error {
	if s.h.DeliverAll == nil {
		return status.Error(codes.Unimplemented, "this host has no control role")
	}
	return s.h.DeliverAll(stream)
}

// GiveOrder implements schema.PeerServer.
func (s *Server) GiveOrder(ctx context.Context, q *schema.GiveOrderRequest) (*schema.GiveOrderReply, error) {
	return handle(ctx, s.h.GiveOrder, q)
}

// InSync implements schema.PeerServer.
func (s *Server) InSync(ctx context.Context, q *schema.InSyncRequest) (*schema.InSyncReply, error) {
	return handle(ctx, s.h.InSync, q)
}

// FindOrigins implements schema.PeerServer.
func (s *Server) FindOrigins(ctx context.Context, q *schema.FindOriginsRequest) (*schema.FindOriginsReply, error) {
	return handle(ctx, s.h.FindOrigins, q)
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

func handle[Q, R any](ctx context.Context, h func(context.Context, Q) (R, error), q Q) (R, error) {
	if h == nil {
		var zero R
		return zero, status.Error(codes.Unimplemented, "this host has no control role")
	}
	return h(ctx, q)
}
