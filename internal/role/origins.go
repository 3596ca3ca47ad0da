package role

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"fennelyard/internal/asynclog"
	"fennelyard/internal/ledger"
	"fennelyard/internal/origin"
	"fennelyard/internal/schema"
)

const (
	// originBatchDelay is how long lookups of origins are batched into one request to each other control
	// host: after a restart of all entries, all open streams are resumed at once.
	originBatchDelay = 10 * time.Millisecond
	// originQueryTimeout bounds such a request. Entries wait for originTimeout of the gateway.
	originQueryTimeout = 200 * time.Millisecond
	// maxOriginKeys bounds the keys of a request.
	maxOriginKeys = 4096
)

// recordOrigins records where streams began, as an entry reports.
func (c *Control) recordOrigins(origins []*schema.StreamOrigin) {
	for _, o := range origins {
		keys, err := origin.KeysOf(o.GetKey())
		if err != nil {
			continue
		}
		for _, key := range keys {
			c.origins.Put(key, origin.Origin{Pool: o.GetPool(), Version: o.GetSoftware()})
		}
	}
}

// originBatch is a number of lookups at the other control hosts.
type originBatch struct {
	keys [][]byte
	// done is closed when found and incomplete are set.
	done       chan struct{}
	found      map[string]*schema.StreamOrigin
	incomplete bool
}

// originFinder batches lookups of origins at the other control hosts.
type originFinder struct {
	mu sync.Mutex
	// next is the batch that is being collected, nil for none; guarded by mu.
	next *originBatch
}

// handleFindOrigins returns the origins that this host knows, and with forward those that the others know.
func (c *Control) handleFindOrigins(ctx context.Context, q *schema.FindOriginsRequest) (*schema.FindOriginsReply, error) {
	reply := &schema.FindOriginsReply{}
	var unknown [][]byte
	for _, data := range q.GetKeys()[:min(len(q.GetKeys()), maxOriginKeys)] {
		key, err := origin.KeyOf(data)
		if err != nil {
			continue
		}
		if o, known := c.origins.Get(key); known {
			reply.Origins = append(reply.Origins, &schema.StreamOrigin{Key: data, Pool: o.Pool, Software: o.Version})
			continue
		}
		unknown = append(unknown, data)
	}
	if !q.GetForward() || len(unknown) == 0 {
		return reply, nil
	}
	batch := c.addToBatch(unknown)
	select {
	case <-batch.done:
	case <-ctx.Done():
		reply.Incomplete = true
		return reply, nil
	}
	reply.Incomplete = batch.incomplete
	for _, key := range unknown {
		if o := batch.found[string(key)]; o != nil {
			reply.Origins = append(reply.Origins, o)
		}
	}
	return reply, nil
}

// addToBatch adds keys to the next batch of lookups.
func (c *Control) addToBatch(keys [][]byte) *originBatch {
	c.originFinder.mu.Lock()
	defer c.originFinder.mu.Unlock()
	b := c.originFinder.next
	if b == nil {
		b = &originBatch{done: make(chan struct{}), found: map[string]*schema.StreamOrigin{}}
		c.originFinder.next = b
		time.AfterFunc(originBatchDelay, func() { c.findBatch(b) })
	}
	b.keys = append(b.keys, keys...)
	if len(b.keys) >= maxOriginKeys {
		// Later lookups wait for a batch of their own.
		c.originFinder.next = nil
	}
	return b
}

// findBatch asks all other control hosts for the keys of a batch.
func (c *Control) findBatch(b *originBatch) {
	c.originFinder.mu.Lock()
	if c.originFinder.next == b {
		c.originFinder.next = nil
	}
	c.originFinder.mu.Unlock()
	defer close(b.done)
	select {
	case <-c.stop:
		b.incomplete = true
		return
	default:
	}
	ctx, cancel := context.WithTimeout(context.Background(), originQueryTimeout)
	defer cancel()
	var mu sync.Mutex
	var queries sync.WaitGroup
	for _, address := range c.memberAddresses() {
		if address == c.self.GetPeerAddress() {
			continue
		}
		queries.Go(func() {
			reply, err := c.queryOrigins(ctx, address, b.keys)
			mu.Lock()
			defer mu.Unlock()
			b.incomplete = b.incomplete || err != nil
			for _, o := range reply.GetOrigins() {
				b.found[string(o.GetKey())] = o
			}
		})
	}
	queries.Wait()
	c.cfg.Log.Info("origins asked for", "streams", len(b.keys), "found", len(b.found), "incomplete", b.incomplete)
}

func (c *Control) queryOrigins(ctx context.Context, address string, keys [][]byte) (*schema.FindOriginsReply, error) {
	client, err := c.orderDialer.Client(address)
	if err != nil {
		return nil, errors.Newf("dial control host: %w", err)
	}
	reply, err := client.FindOrigins(ctx, &schema.FindOriginsRequest{Keys: keys})
	if err != nil {
		return nil, errors.Newf("find origins at %s: %w", address, err)
	}
	return reply, nil
}

// versionRecorder decides which versions of software are recorded as in use. It belongs to one goroutine.
type versionRecorder struct {
	term uint64
	// seen is when this leader last knew a server of each version, by the key of its record.
	seen map[string]time.Time
}

// changes returns the versions to record and those to remove, of a leader's term.
func (v *versionRecorder) changes(term uint64, present, recorded []*schema.PoolVersion, now time.Time) *schema.RememberVersions {
	if term != v.term {
		v.term, v.seen = term, map[string]time.Time{}
	}
	known, out := map[string]bool{}, &schema.RememberVersions{}
	for _, r := range recorded {
		known[ledger.VersionKey(r)] = true
	}
	for _, p := range present {
		key := ledger.VersionKey(p)
		v.seen[key] = now
		if !known[key] {
			known[key], out.Used = true, append(out.Used, p)
		}
	}
	for _, r := range recorded {
		key := ledger.VersionKey(r)
		if _, ok := v.seen[key]; !ok {
			// The last server may have ended just before this leader began.
			v.seen[key] = now
		}
		if now.Sub(v.seen[key]) > origin.VersionRetention {
			out.Unused = append(out.Unused, r)
			delete(v.seen, key)
		}
	}
	return out
}

// recordVersions records which versions of servers' software are in use, for entries that start later.
func (c *Control) recordVersions() {
	var recorded []*schema.PoolVersion
	c.group.Ledger().View(func(_ ledger.Status, r *ledger.Records) { recorded = r.PoolVersions() })
	changes := c.versions.changes(c.group.Status().Term, c.roster.Versions(), recorded, time.Now())
	if len(changes.GetUsed())+len(changes.GetUnused()) == 0 {
		return
	}
	err := c.commit(context.Background(), &schema.Command{Body: &schema.Command_RememberVersions{RememberVersions: changes}})
	c.cfg.Log.Info("versions recorded", "come", versionNames(changes.GetUsed()), "gone", versionNames(changes.GetUnused()), "error", asynclog.ErrorText(err))
}

func versionNames(versions []*schema.PoolVersion) string {
	var out []string
	for _, v := range versions {
		out = append(out, v.GetPool()+" "+v.GetSoftware())
	}
	return strings.Join(out, ", ")
}
