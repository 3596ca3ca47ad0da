package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"io"

	"github.com/cespare/xxhash/v2"
)

//go:generate go tool stringer -type=Scope -linecomment

// Scope is what the requests of a suspect have in common. The values are those of
// schema.SuspectScope.
type Scope int

// The scopes.
const (
	// ScopeRequest is one request and its repetitions.
	ScopeRequest Scope = iota // request
	// ScopeTeam is all requests of one team of callers.
	ScopeTeam // team
	// ScopeModel is all requests for a model, and ScopeAdapter those for one of its
	// adapters.
	ScopeModel   // model
	ScopeAdapter // adapter
	// ScopePart is all requests with a part in their prompts, and ScopePartAtModel those of
	// them for one model.
	ScopePart        // part
	ScopePartAtModel // part-at-model
	// ScopeSession is all requests of one session: those with the same last part.
	ScopeSession // session
)

const (
	// holdThreshold is how many servers must have ended under a request, or under a prompt
	// part, before it is held back. Requests that run beside a harmful one break off with it
	// and are repeated as well: many of them run beside it on two servers, hardly any on
	// three.
	holdThreshold = 3
	// wideHoldThreshold is the same for teams, models and adapters: holding them back
	// refuses many more requests, so it takes more evidence.
	wideHoldThreshold = 5
)

// threshold returns how many servers must have ended under a suspect before it is held
// back.
func (s Scope) threshold() int {
	switch s {
	case ScopeTeam, ScopeModel, ScopeAdapter:
		return wideHoldThreshold
	}
	return holdThreshold
}

// narrowness orders the scopes, the widest first, but for a part, which counts as
// narrower than its part at a model: a part that crashes the servers of one model most often
// crashes those of all, and to find that out would take several more servers of each. Once it
// has completed at another model, only the part at the model is left.
func (s Scope) narrowness() int {
	switch s {
	case ScopePartAtModel:
		return int(ScopeAdapter)*2 + 1
	case ScopeRequest:
		return int(ScopeSession)*2 + 1
	}
	return int(s) * 2
}

// shared reports whether different requests have the scope in common.
func (s Scope) shared() bool { return s != ScopeRequest }

// Carrier is something that requests share and that may crash the servers that run them.
type Carrier struct {
	Scope Scope
	// Name is the name of the team, model or adapter, or the ID of the part.
	Name string
	// Within is the model of an adapter or of a part at a model.
	Within string
	// Depth is the position of a part in its prompt, the first is 0: the deeper it is, the
	// fewer requests have it.
	Depth int
}

// Hint returns the hint of the carrier's key.
func (c Carrier) Hint() Hint {
	var d xxhash.Digest
	d.Reset()
	// Writing to a hash does not fail.
	_, _ = d.Write([]byte{byte(c.Scope)})
	_, _ = d.WriteString(c.Within)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(c.Name)
	return Hint(d.Sum64())
}

// Key returns the carrier's key, which reveals nothing of its name.
func (c Carrier) Key() Key {
	h := sha256.New()
	var length [8]byte
	// The scope is preceded by a length that no method of a request has.
	for _, part := range []string{sharedKeyDomain, c.Scope.String(), c.Within, c.Name} {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		// Writing to a hash does not fail.
		_, _ = h.Write(length[:])
		_, _ = io.WriteString(h, part)
	}
	var k Key
	binary.BigEndian.PutUint64(k[:], uint64(c.Hint()))
	copy(k[hintBytes:], h.Sum(nil))
	return k
}

// sharedKeyDomain separates the keys of carriers from those of requests, which begin with
// a method.
const sharedKeyDomain = "shared by requests"

// Accusation names a request, or something that it shares with others, at the end of a
// server that ran it.
type Accusation struct {
	Key   Key
	Scope Scope
	// Depth is that of the carrier.
	Depth int
	// Kind is that of the server.
	Kind Kind
	// Weak is set if such a request has completed shortly before.
	Weak bool
}
