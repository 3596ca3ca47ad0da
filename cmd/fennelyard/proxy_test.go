package main

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// proxyFault is a fault that a proxy injects into a connection.
type proxyFault int

// The faults of proxies.
const (
	// proxyForwards forwards everything without a fault.
	proxyForwards proxyFault = iota
	// proxyDelays delays each part of the response.
	proxyDelays
	// proxyResets resets the connection after some bytes of the response.
	proxyResets
	// proxyDropsResponse forwards the request, and drops the response after some bytes.
	proxyDropsResponse
	// proxyDropsRequest drops the request and never responds.
	proxyDropsRequest
	proxyFaultCount
)

const (
	// connectionsPerFault is the mean number of connections to one for which a fault is drawn,
	// which may be proxyForwards.
	connectionsPerFault = 5
	// maxProxyDelay is the maximum delay of a part of a response.
	maxProxyDelay = 150 * time.Millisecond
	// maxResponseFaultBytes is the maximum number of bytes of a server's response before a
	// fault. The number that is drawn decides whether the fault occurs in the header, in the
	// body, or not at all. maxStreamFaultBytes is the same for the long-lived streams between
	// hosts.
	maxResponseFaultBytes = 400
	maxStreamFaultBytes   = 20_000
)

// direction is a direction of the connections of a proxy.
type direction int

// The directions: to the target and from it.
const (
	directionRequest direction = iota
	directionResponse
	directionCount
)

// proxy forwards connections to a backend server or a control host and injects network
// faults into them. It ends with its context, as does the process of the server.
type proxy struct {
	listener net.Listener
	target   string
	// faultsCtx ends the injection of faults.
	faultsCtx context.Context
	// maxFaultBytes is the maximum number of bytes of a response before a fault.
	maxFaultBytes int64
	wg            sync.WaitGroup

	mu sync.Mutex
	// random is guarded by mu.
	random *rand.Rand
	// blockedUntil is the time until which a direction is blocked on all connections; data
	// sent in the meantime is delayed. It is guarded by mu.
	blockedUntil [directionCount]time.Time
}

// block blocks a direction of all connections for a duration.
func (p *proxy) block(d direction, duration time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blockedUntil[d] = time.Now().Add(duration)
}

// awaitUnblocked waits until a direction is not blocked.
func (p *proxy) awaitUnblocked(d direction) {
	for {
		p.mu.Lock()
		wait := time.Until(p.blockedUntil[d])
		p.mu.Unlock()
		if wait <= 0 {
			return
		}
		time.Sleep(wait)
	}
}

// blockableReader reads from a connection in a direction that may be blocked.
type blockableReader struct {
	proxy     *proxy
	direction direction
	source    io.Reader
}

// Read implements io.Reader.
func (s blockableReader) Read(b []byte) (int, error) {
	n, err := s.source.Read(b)
	s.proxy.awaitUnblocked(s.direction)
	return n, err
}

// newProxy starts a proxy that accepts connections on l and forwards them to target until
// ctx ends. It injects faults until faultsCtx ends.
func newProxy(ctx, faultsCtx context.Context, l net.Listener, target string, maxFaultBytes int64, random *rand.Rand) *proxy {
	p := &proxy{listener: l, target: target, faultsCtx: faultsCtx, maxFaultBytes: maxFaultBytes, random: random}
	p.wg.Go(func() {
		<-ctx.Done()
		_ = l.Close()
	})
	p.wg.Go(func() {
		for {
			client, err := l.Accept()
			if err != nil {
				return
			}
			p.wg.Go(func() { p.serve(ctx, client) })
		}
	})
	return p
}

// close waits until all goroutines of the proxy have ended. Its context must be done.
func (p *proxy) close() { p.wg.Wait() }

// drawFault draws the fault of a connection, the number of bytes before it, and the delay of
// each part of the response.
func (p *proxy) drawFault() (fault proxyFault, after int64, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faultsCtx.Err() != nil || p.random.IntN(connectionsPerFault) != 0 {
		return proxyForwards, 0, 0
	}
	return proxyFault(p.random.IntN(int(proxyFaultCount))), p.random.Int64N(p.maxFaultBytes), rand.N(maxProxyDelay)
}

// serve forwards one connection.
func (p *proxy) serve(ctx context.Context, client net.Conn) {
	defer func() { _ = client.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = client.Close() })
	defer stop()
	fault, after, delay := p.drawFault()
	if fault == proxyDropsRequest {
		_, _ = io.Copy(io.Discard, client)
		return
	}
	p.awaitUnblocked(directionRequest)
	target, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer func() { _ = target.Close() }()
	disconnected := make(chan struct{})
	go func() {
		defer close(disconnected)
		// The server must detect that its client has disconnected.
		_, _ = io.Copy(target, blockableReader{p, directionRequest, client})
		_ = target.Close()
	}()
	forwardResponse(client, blockableReader{p, directionResponse, target}, fault, after, delay)
	if fault == proxyDropsResponse {
		<-disconnected
	}
}

// forwardResponse forwards the response of a target to a client with a fault.
func forwardResponse(client net.Conn, target io.Reader, fault proxyFault, after int64, delay time.Duration) {
	switch fault {
	case proxyResets:
		_, _ = io.CopyN(client, target, after)
		if c, ok := client.(*net.TCPConn); ok {
			_ = c.SetLinger(0)
		}
	case proxyDropsResponse:
		_, _ = io.CopyN(client, target, after)
		_, _ = io.Copy(io.Discard, target)
	case proxyDelays:
		buffer := make([]byte, 1<<10)
		for {
			n, err := target.Read(buffer)
			time.Sleep(delay)
			if _, werr := client.Write(buffer[:n]); err != nil || werr != nil {
				return
			}
		}
	default:
		_, _ = io.Copy(client, target)
	}
}
