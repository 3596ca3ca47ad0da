package engine

import (
	"net"
	"time"
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
