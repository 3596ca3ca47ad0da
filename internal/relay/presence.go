package relay

import (
	"context"
	"syscall"

	"github.com/cockroachdb/errors"
)

//go:generate go tool stringer -type=Presence -linecomment

// Presence is what a backend server's address answers to a new connection.
type Presence int

// The presences.
const (
	// PresenceSilent says that nothing answers: the path, the host or its power may be
	// lost, and the server may live.
	PresenceSilent Presence = iota // silent
	// PresenceRefused says that the host is there and nobody listens: the server's
	// process has ended.
	PresenceRefused // refused
	// PresenceListening says that a process listens there.
	PresenceListening // listening
)

// Probe tries an address without sending anything.
func (s *Sender) Probe(ctx context.Context, address string) Presence {
	conn, err := s.dial(ctx, address)
	switch {
	case err == nil:
		Reset(conn)
		return PresenceListening
	case errors.Is(err, syscall.ECONNREFUSED):
		return PresenceRefused
	}
	return PresenceSilent
}
