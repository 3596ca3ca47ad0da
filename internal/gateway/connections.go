package gateway

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"fennelyard/internal/schema"
)

// usableConnectionShare is the share of a server's connections that the entries divide: the number
// of entries is known with a delay when entries come.
const usableConnectionShare = 0.8

// setPools sets the number of connections that each server of a pool takes from all entries together,
// and the tokens that it holds; pools without a limit are missing.
func (f *fleet) setPools(pools map[string]*schema.Pool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.maxConnections)
	clear(f.cacheTokens)
	for name, p := range pools {
		f.cacheTokens[name] = float64(p.GetEngine().GetCacheTokens())
		if n := p.GetMaxConnections(); n > 0 {
			f.maxConnections[name] = float64(n)
		}
	}
}

// connectionsFull reports whether this entry has its part of a server's connections in use; the
// caller holds mu. The fraction of a connection that an entry's part has is rounded by a hash of
// the entry and the server: rounded up by each of hundreds of entries it would be many more than
// the server takes.
func (f *fleet) connectionsFull(s *server) bool {
	limit, limited := f.maxConnections[s.view.GetPool()]
	if !limited {
		return false
	}
	whole, fraction := math.Modf(usableConnectionShare * limit / float64(max(f.sharingEntries(), 1)))
	if float64(xxhash.Sum64String(f.self+"/"+s.id))/math.MaxUint64 < fraction {
		whole++
	}
	return float64(s.running) >= whole
}

// allFull reports whether this entry has its part of the connections in use at each server that
// could serve a request.
func (f *fleet) allFull(pool string, info *RequestInfo, excluded []string, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	candidates := f.candidates(pool, info, excluded, now)
	return len(candidates) > 0 && !slices.ContainsFunc(candidates, func(s *server) bool { return !f.connectionsFull(s) })
}
