// Package origin records at which backend servers streams began: the pool and the version
// of its software. What servers of two versions write does not fit together, so a stream may
// be resumed only at servers of the version that began it, through any entry.
package origin

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// Retention is the least time for which an origin is kept: longer than callers wait for a
	// stream and take it up again.
	Retention = time.Minute
	// VersionRetention is how long a version of the software counts as in use after its last server, in the log and at
	// entries: as long as a Table may keep an origin. Until then a stream of unknown origin may have begun there.
	VersionRetention = 2 * Retention
	// MaxEntryRecords is the maximum number of origins of an entry, about four MB: 270 streams a second
	// for Retention.
	MaxEntryRecords = 32768
	// MaxControlRecords is that of a control host, for all its entries: 1,000 streams a second.
	MaxControlRecords = 131072
)

// keyBytes is the length of a key, at which a collision is practically impossible.
const keyBytes = 16

// Key identifies an attempt of a caller. Only who knows the caller's secret and the attempt's
// ID can compute it.
type Key [keyBytes]byte

// NewKey returns the key of an attempt. caller is the secret that identifies the caller,
// empty for an anonymous one.
func NewKey(caller, attempt string) Key {
	h := sha256.New()
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(caller)))
	// Writing to a hash does not fail.
	_, _ = h.Write(length[:])
	_, _ = io.WriteString(h, caller)
	_, _ = io.WriteString(h, attempt)
	var k Key
	copy(k[:], h.Sum(nil))
	return k
}

// errInvalidKey is returned for a text that is no key.
var errInvalidKey = errors.New("not an attempt's key")

// KeyOf returns the key with the given bytes.
func KeyOf(data []byte) (Key, error) {
	var k Key
	if len(data) != len(k) {
		return Key{}, errors.Newf("%d bytes: %w", len(data), errInvalidKey)
	}
	copy(k[:], data)
	return k, nil
}

// KeysOf returns the keys whose bytes follow one another.
func KeysOf(data []byte) ([]Key, error) {
	if len(data)%keyBytes != 0 {
		return nil, errors.Newf("%d bytes: %w", len(data), errInvalidKey)
	}
	out := make([]Key, 0, len(data)/keyBytes)
	for part := range slices.Chunk(data, keyBytes) {
		out = append(out, Key(part))
	}
	return out, nil
}

// parseKey parses the text that String returns.
func parseKey(text string) (Key, error) {
	data, err := hex.DecodeString(text)
	if err != nil {
		return Key{}, errors.Newf("%q: %w", text, errInvalidKey)
	}
	return KeyOf(data)
}

// String returns the key in hexadecimal digits.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// Origin is where a stream began.
type Origin struct {
	Pool string
	// Version is the version of the server's software.
	Version string
	// Attempt increases from 1 each time that the entry records another version: before its first event a
	// stream may begin anew at another server, and the latest holds.
	Attempt int
}

// Table holds the origins of streams. All methods are safe for concurrent use.
type Table struct {
	now        func() time.Time
	maxRecords int

	mu sync.Mutex
	// current are the origins recorded since rotated, and previous those before; guarded by mu,
	// as rotated.
	current, previous map[Key]Origin
	rotated           time.Time
}

// NewTable returns an empty table for a number of origins.
func NewTable(maxRecords int, now func() time.Time) *Table {
	return &Table{now: now, maxRecords: maxRecords, current: map[Key]Origin{}, rotated: now()}
}

// Put records the origin of a stream, unless a later attempt's is recorded.
func (t *Table) Put(key Key, o Origin) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known, ok := t.get(key); ok && known.Attempt > o.Attempt {
		return
	}
	if now := t.now(); now.Sub(t.rotated) > Retention || len(t.current) >= t.maxRecords/2 {
		t.current, t.previous, t.rotated = map[Key]Origin{}, t.current, now
	}
	t.current[key] = o
}

// Get returns the origin of a stream.
func (t *Table) Get(key Key) (Origin, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.get(key)
}

// get is Get; the caller holds mu.
func (t *Table) get(key Key) (Origin, bool) {
	if o, ok := t.current[key]; ok {
		return o, true
	}
	o, ok := t.previous[key]
	return o, ok
}
