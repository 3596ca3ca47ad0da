package relay

import (
	"context"
	"syscall"

	"github.com/cockroachdb/errors"

	"fennelyard/internal/tcp"
)

//go:generate go tool stringer -type=Presence -linecomment

// Presence is the result of a connection attempt to a backend server's address.
type Presence int

// The results of Sender.Probe.
const (
	// PresenceSilent means that the attempt timed out or failed otherwise: the network
	// path, the host or its power may be lost, and the server may still run.
	PresenceSilent Presence = iota // silent
	// PresenceRefused means that the host is up and nothing listens on the port: the
	// server's process has ended.
	PresenceRefused // refused
	// PresenceListening means that a process accepts connections at the address.
	PresenceListening // listening
	// PresenceNotProbed means that no connection was attempted.
	PresenceNotProbed // not-probed
)

// Probe connects to an address, sends nothing and closes the connection.
func (s *Sender) Probe(ctx context.Context, address string) Presence {
	conn, err := s.dial(ctx, address)
	switch {
	case err == nil:
		tcp.Reset(conn)
		return PresenceListening
	case errors.Is(err, syscall.ECONNREFUSED):
		return PresenceRefused
	}
	return PresenceSilent
}
