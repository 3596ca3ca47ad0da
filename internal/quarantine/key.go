// Package quarantine detects requests that end the servers that run them, and holds them
// back. If its caller repeats such a request, it ends one server after another, and all
// other requests on these servers break off.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

const (
	hintBytes = 8
	// digestBytes is the length of a digest, at which a collision of different requests is
	// practically impossible.
	digestBytes = 16
)

// Key identifies a request and is the same for each repetition and at every entry. It
// consists of a Hint and a digest that reveals nothing of the request.
type Key [hintBytes + digestBytes]byte

// Hint distinguishes most requests and is computed in a fraction of a microsecond, whereas
// the digest of a long body takes as long as forwarding it.
type Hint uint64

// ErrInvalidKey is returned for a text that is not a key.
var ErrInvalidKey = errors.New("not a request's key")

// ParseKey parses the text that Key.String returns.
func ParseKey(text string) (Key, error) {
	var k Key
	data, err := hex.DecodeString(text)
	if err != nil || len(data) != len(k) {
		return Key{}, errors.Newf("%q: %w", text, ErrInvalidKey)
	}
	copy(k[:], data)
	return k, nil
}

// Hint returns the key's hint.
func (k Key) Hint() Hint { return Hint(binary.BigEndian.Uint64(k[:])) }

// String returns the key in hexadecimal digits.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// Request holds the parts of a request that stay the same when its caller repeats it. Ids
// and timeouts differ each time.
type Request struct {
	Method string
	Host   string
	// Target is the path and query as sent by the caller.
	Target string
	// Caller is the secret that identifies the caller; empty for an anonymous one.
	Caller string
	Body   []byte
}

// KeyedRequest is a request with keys that are computed when first needed. All methods are
// safe for concurrent use: a connection may still be opened for a request that has ended.
type KeyedRequest struct {
	Request
	shared []Carrier

	mu sync.Mutex
	// key is zero until it is computed: the digest of a long body takes as long as
	// forwarding it. Guarded by mu, as all fields below.
	key Key
	// sharedKeys are the keys of shared; nil until they are computed.
	sharedKeys []Key
	// heldBy is the accusation that last held the request back.
	heldBy Accusation
	// held is the carrier of heldBy, the zero value for the request itself.
	held Carrier
}

// NewKeyedRequest returns a KeyedRequest whose keys are not computed yet. shared is what the
// request has in common with others.
func NewKeyedRequest(r Request, shared ...Carrier) *KeyedRequest {
	return &KeyedRequest{Request: r, shared: shared}
}

// Key returns the request's key.
func (r *KeyedRequest) Key() Key {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.key == (Key{}) {
		r.key = r.Request.Key()
	}
	return r.key
}

// sharedKey returns the key of a carrier by its index.
func (r *KeyedRequest) sharedKey(i int) Key {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sharedKeys == nil {
		r.sharedKeys = make([]Key, len(r.shared))
	}
	if r.sharedKeys[i] == (Key{}) {
		r.sharedKeys[i] = r.shared[i].Key()
	}
	return r.sharedKeys[i]
}

// ComputedKey returns the request's key as text, or "" if it was not computed.
func (r *KeyedRequest) ComputedKey() string {
	if r == nil {
		return ""
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.key == (Key{}) {
		return ""
	}
	return r.key.String()
}

// setHeldBy records what holds the request back.
func (r *KeyedRequest) setHeldBy(a Accusation, c Carrier) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heldBy, r.held = a, c
}

// HeldBy returns what last held the request back: the key of the request or of what it
// shares with others, its scope, and the name of the latter. The key is "" if nothing did.
func (r *KeyedRequest) HeldBy() (key, scope, name string) {
	if r == nil {
		return "", "", ""
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.heldBy.Key == (Key{}) {
		return "", "", ""
	}
	return r.heldBy.Key.String(), r.heldBy.Scope.String(), r.held.Name
}

// Hint returns the hint of the request's key.
func (r Request) Hint() Hint {
	return Hint(xxhash.Sum64String(r.Target) + uint64(len(r.Body)))
}

// CopyHash returns a hash that is the same for each copy of the request at every entry.
func (r Request) CopyHash() uint64 {
	h := xxhash.New()
	for _, part := range []string{r.Method, r.Host, r.Target, r.Caller} {
		// Writing to a hash does not fail.
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(r.Body)
	return h.Sum64()
}

// Key returns the request's key.
func (r Request) Key() Key {
	h := sha256.New()
	var length [8]byte
	// Each part is preceded by its length, so that different splits of the same text
	// differ.
	for _, part := range []string{r.Method, r.Host, r.Target, r.Caller} {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		// Writing to a hash does not fail.
		_, _ = h.Write(length[:])
		_, _ = io.WriteString(h, part)
	}
	_, _ = h.Write(r.Body)
	var k Key
	binary.BigEndian.PutUint64(k[:], uint64(r.Hint()))
	copy(k[hintBytes:], h.Sum(nil))
	return k
}
