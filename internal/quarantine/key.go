// Package quarantine finds the requests that end the servers that run them. Under such
// a request, repeated by its caller, a server after the other ends, and whatever ran
// beside it breaks off.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

const (
	hintBytes = 8
	// digestBytes is the length of a digest: requests that differ share one by chance in
	// no deployment's life.
	digestBytes = 16
)

// Key names a request, alike each time that its caller repeats it and at every entry: a
// Hint, and a digest from which nothing of the request can be read.
type Key [hintBytes + digestBytes]byte

// Hint tells most requests apart and is had in a fraction of a microsecond, where the
// digest of a long body takes as long as sending it on.
type Hint uint64

// ErrInvalidKey says that a text is no key.
var ErrInvalidKey = errors.New("not a request's key")

// ParseKey reads what String returns.
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

// Request is what stays the same when a caller repeats a request. Ids and times to wait
// are new each time.
type Request struct {
	Method string
	Host   string
	// Target is the path and query as the caller wrote them.
	Target string
	// Caller is the secret by which the caller is known; empty for one without a name.
	Caller string
	Body   []byte
}

// KeyedRequest is a request at one entry. It belongs to one goroutine.
type KeyedRequest struct {
	Request
	// key is the request's, the zero value before it was needed: the digest of a long body
	// takes as long as sending it on.
	key Key
}

// NewKeyedRequest returns a request as a subject.
func NewKeyedRequest(r Request) *KeyedRequest { return &KeyedRequest{Request: r} }

// Key returns the request's key.
func (s *KeyedRequest) Key() Key {
	if s.key == (Key{}) {
		s.key = s.Request.Key()
	}
	return s.key
}

// ComputedKey returns the request's key as text, or "" where nobody has needed it yet.
func (s *KeyedRequest) ComputedKey() string {
	if s == nil || s.key == (Key{}) {
		return ""
	}
	return s.key.String()
}

// Hint returns the hint of the request's key.
func (r Request) Hint() Hint {
	return Hint(xxhash.Sum64String(r.Target) + uint64(len(r.Body)))
}

// Key returns the request's key.
func (r Request) Key() Key {
	h := sha256.New()
	var length [8]byte
	// Each part's length goes before it: parts that are cut in another way differ.
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
