// Package incarnation names the starts of backend servers. A server may start again
// under the id that it had, and then holds and knows nothing of before: whatever is
// true of one start only is kept under its incarnation, whatever outlives it under the
// server's id.
package incarnation

import (
	"strconv"
	"strings"
)

// separator stands between a server's id and the time of its start.
const separator = '@'

// Name is one start of a backend server.
type Name struct {
	// Server is the server's id.
	Server string
	// StartMs is when the start was, in Unix milliseconds by the server's clock; 0 for
	// servers that do not say it.
	StartMs int64
}

// String returns the incarnation's key: the id alone where no start is told, else the
// id and the start. Parse takes it apart.
func (n Name) String() string {
	if n.StartMs == 0 && strings.IndexByte(n.Server, separator) < 0 {
		return n.Server
	}
	return n.Server + string(separator) + strconv.FormatInt(n.StartMs, 10)
}

// Parse returns the incarnation of a key. It allocates nothing.
func Parse(key string) Name {
	at := strings.LastIndexByte(key, separator)
	if at < 0 {
		return Name{Server: key}
	}
	born, err := strconv.ParseInt(key[at+1:], 10, 64)
	if err != nil {
		// No key that String makes: an id that was recorded as it came.
		return Name{Server: key}
	}
	return Name{Server: key[:at], StartMs: born}
}

// ServerOf returns the id of the server of a key.
func ServerOf(key string) string { return Parse(key).Server }
