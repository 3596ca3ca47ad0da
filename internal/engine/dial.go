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

// dialer notices within seconds that a connection has gone silent below: a load
// may answer only after minutes, so that silence alone says nothing.
func dialer() *net.Dialer {
	return &net.Dialer{
		Timeout: connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
	}
}

type sendByKey struct{}

// errTooLate says that the time to send an order passed before it was written.
var errTooLate = errors.New("the time to send the order has passed")

// dialInTime connects, and gives the connection up when the order that it is
// for must not be sent any more.
func dialInTime(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := dialer().DialContext(ctx, network, address)
	if err != nil {
		return nil, errors.Newf("connect: %w", err)
	}
	if by, ok := ctx.Value(sendByKey{}).(time.Time); ok && time.Now().After(by) {
		_ = conn.Close()
		return nil, errTooLate
	}
	return conn, nil
}
