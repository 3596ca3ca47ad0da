package engine

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
)

// newDialer returns a dialer whose connections detect a lost peer within seconds by
// keep-alive probes: the reply to a load order may take minutes, so that a silent
// connection is not necessarily lost.
func newDialer() *net.Dialer {
	return &net.Dialer{
		Timeout: connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
	}
}

type sendDeadlineKey struct{}

// errSendDeadlinePassed reports that the send timeout passed before an order was
// written.
var errSendDeadlinePassed = errors.New("the send timeout of the order has passed")

// dialBeforeDeadline connects, and closes the connection if the send deadline of the
// context has passed in the meantime.
func dialBeforeDeadline(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := newDialer().DialContext(ctx, network, address)
	if err != nil {
		return nil, errors.Newf("connect: %w", err)
	}
	if deadline, ok := ctx.Value(sendDeadlineKey{}).(time.Time); ok && time.Now().After(deadline) {
		_ = conn.Close()
		return nil, errSendDeadlinePassed
	}
	return conn, nil
}
