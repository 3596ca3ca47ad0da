package ratelimit

import (
	"sync"
	"time"

	"fennelyard/internal/schema"
)

// maxGrantAge is how long a grant is kept for a receiver. Later its permits are of little use,
// and the leader counts them as lost.
const maxGrantAge = time.Second

// GrantBuffer holds grants until they are sent: at the leader for control hosts, at a control
// host for entries. All methods are safe for concurrent use.
type GrantBuffer struct {
	mu sync.Mutex
	// grants is keyed by receiver; guarded by mu, as is added.
	grants map[string][]bufferedGrant
	// added is keyed by receiver; a channel is closed and removed when grants are added.
	added map[string]chan struct{}
}

// bufferedGrant is a grant that was made no earlier than issuedAt.
type bufferedGrant struct {
	grant    *schema.PermitGrant
	issuedAt time.Time
}

// NewGrantBuffer returns an empty buffer.
func NewGrantBuffer() *GrantBuffer {
	return &GrantBuffer{grants: map[string][]bufferedGrant{}, added: map[string]chan struct{}{}}
}

// Add adds a grant for a receiver that was made no earlier than issuedAt.
func (b *GrantBuffer) Add(receiver string, grant *schema.PermitGrant, issuedAt time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.grants[receiver] = append(b.grants[receiver], bufferedGrant{grant, issuedAt})
	if added := b.added[receiver]; added != nil {
		close(added)
		delete(b.added, receiver)
	}
}

// Take removes and returns the grants for a receiver, each with its age.
func (b *GrantBuffer) Take(receiver string, now time.Time) []*schema.PermitGrant {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []*schema.PermitGrant
	for _, g := range b.grants[receiver] {
		if age := now.Sub(g.issuedAt); age <= maxGrantAge {
			out = append(out, &schema.PermitGrant{
				Entry: g.grant.GetEntry(), Server: g.grant.GetServer(), Count: g.grant.GetCount(), AgeMs: age.Milliseconds() + 1,
				Team: g.grant.GetTeam(), Amount: g.grant.GetAmount(),
			})
		}
	}
	delete(b.grants, receiver)
	return out
}

// Sweep removes grants that nobody has taken.
func (b *GrantBuffer) Sweep(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for receiver, grants := range b.grants {
		if newest := grants[len(grants)-1]; now.Sub(newest.issuedAt) > maxGrantAge {
			delete(b.grants, receiver)
		}
	}
}

// Added returns a channel that is closed when grants are next added for a receiver.
func (b *GrantBuffer) Added(receiver string) <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	added := b.added[receiver]
	if added == nil {
		added = make(chan struct{})
		b.added[receiver] = added
	}
	return added
}

// Remove removes a receiver that takes no more grants.
func (b *GrantBuffer) Remove(receiver string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.grants, receiver)
	delete(b.added, receiver)
}
