package tcp

import (
	"context"
	"net"
	"net/http"
	"time"

	"fennelyard/internal/bound"
)

// idleTimeout closes connections between hosts that have not been used: a middlebox may have
// dropped its state of an older one.
const idleTimeout = 10 * time.Second

// NewTransport returns a transport for messages between hosts that connects with dial and keeps
// up to idlePerHost idle connections to each host, and idle to all of them, 0 for any number.
func NewTransport(dial func(ctx context.Context, address string) (net.Conn, error), idlePerHost, idle int) *http.Transport {
	return &http.Transport{
		DialContext:            func(ctx context.Context, _, address string) (net.Conn, error) { return dial(ctx, address) },
		MaxResponseHeaderBytes: bound.ReplyHeadBytes, DisableCompression: true, IdleConnTimeout: idleTimeout, MaxIdleConnsPerHost: idlePerHost, MaxIdleConns: idle,
	}
}
