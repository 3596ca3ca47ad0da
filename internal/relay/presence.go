package relay

import (
	"context"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"fennelyard/internal/tcp"
)

//go:generate go tool stringer -type=Presence -linecomment

// Presence is what is known of a backend server's process after it was looked for at its address.
type Presence int

// The results of Sender.Probe, and of Sender.Identify.
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
	// PresenceConfirmed means that the incarnation that was asked for has responded.
	PresenceConfirmed // confirmed
	// PresenceReplaced means that another incarnation has responded: the one that was asked for has ended.
	PresenceReplaced // replaced
)

// IdentifyTimeout bounds the time that Identify takes: a server that is full may let the request wait, and so may this
// host if it is out of processor time.
const IdentifyTimeout = 2 * time.Second

// Identify sends a request to a server's address, and returns PresenceConfirmed if confirms returns true for the
// status and the header of the response, and PresenceReplaced if it returns false.
func (s *Sender) Identify(ctx context.Context, address string, req *Request, confirms func(status int, header http.Header) bool) Presence {
	ctx, cancel := context.WithTimeout(ctx, IdentifyTimeout)
	defer cancel()
	response, err := s.Send(ctx, address, req)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return PresenceRefused
	case err != nil:
		return PresenceSilent
	}
	defer response.Close()
	if confirms(response.Status, response.Header) {
		return PresenceConfirmed
	}
	return PresenceReplaced
}

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
