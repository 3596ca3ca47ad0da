// Package incarnation identifies the starts of backend servers. A server that restarts
// under the same id has none of its earlier state. State of one start is stored under its
// incarnation, and state that outlives it under the server's id.
package incarnation

import (
	"strconv"
	"strings"
	"time"
)

// separator separates a server's id from its start time.
const separator = '@'

// Name identifies one start of a backend server.
type Name struct {
	// Server is the server's id.
	Server string
	// StartMs is the start time in Unix milliseconds by the server's clock; 0 for servers
	// that do not report it.
	StartMs int64
}

// String returns the incarnation's key: the id alone if no start time is reported, else the
// id and the start time. Parse is its inverse.
func (n Name) String() string {
	if n.StartMs == 0 && strings.IndexByte(n.Server, separator) < 0 {
		return n.Server
	}
	return n.Server + string(separator) + strconv.FormatInt(n.StartMs, 10)
}

// Parse returns the incarnation with a key. It does not allocate.
func Parse(key string) Name {
	at := strings.LastIndexByte(key, separator)
	if at < 0 {
		return Name{Server: key}
	}
	startMs, err := strconv.ParseInt(key[at+1:], 10, 64)
	if err != nil {
		// String returns no such key: it is an id that was recorded unchanged.
		return Name{Server: key}
	}
	return Name{Server: key[:at], StartMs: startMs}
}

// MayHaveReceived reports whether the incarnation with a key may have received a request that was
// sent to the incarnation sentTo over a connection established at a time: it is that incarnation, or
// one of the same server that had started by then and was not known yet.
func MayHaveReceived(key, sentTo string, at time.Time) bool {
	if key == sentTo {
		return true
	}
	receiver, addressee := Parse(key), Parse(sentTo)
	return receiver.Server == addressee.Server && addressee.StartMs < receiver.StartMs && at.UnixMilli() >= receiver.StartMs
}

// ServerOf returns the server id in a key.
func ServerOf(key string) string { return Parse(key).Server }
