// Package gateway takes callers' requests on routes of a complete configuration,
// chooses a backend server for each and passes the answer on. It holds no
// durable state: what it knows comes from the leader of the control group.
package gateway

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"fennelyard/internal/ledger"
	"fennelyard/internal/schema"
	"fennelyard/internal/team"
)

// table is a configuration as requests are matched against it; it is never
// changed.
type table struct {
	version uint64
	limits  *schema.CallerLimits
	// byHost holds the routes of a host, the longest prefix first.
	byHost map[string][]*schema.Route
	pools  map[string]*schema.Pool
	teams  *team.Directory
	// gaps is the shortest pause that a stream to each pool is allowed; 0: none is told.
	gaps map[string]time.Duration
}

func newTable(r *ledger.Records) *table {
	head := r.Configuration()
	if head == nil {
		return nil
	}
	t := &table{
		version: head.GetVersion(), limits: head.GetLimits(),
		byHost: map[string][]*schema.Route{}, pools: map[string]*schema.Pool{}, gaps: map[string]time.Duration{},
	}
	for _, route := range r.Routes() {
		t.byHost[route.GetHost()] = append(t.byHost[route.GetHost()], route)
		t.allow(route)
	}
	for _, routes := range t.byHost {
		slices.SortFunc(routes, func(a, b *schema.Route) int { return cmp.Compare(len(b.GetPrefix()), len(a.GetPrefix())) })
	}
	for _, p := range r.Pools() {
		t.pools[p.GetName()] = p
	}
	t.teams = team.NewDirectory(head.GetKeySalt(), r.Teams())
	return t
}

// allow notes the pauses that a route allows the streams of its pools.
func (t *table) allow(r *schema.Route) {
	gap := time.Duration(r.GetGapMs()) * time.Millisecond
	if !r.GetStream() || gap <= 0 {
		return
	}
	for _, s := range r.GetShares() {
		if least := t.gaps[s.GetPool()]; least == 0 || gap < least {
			t.gaps[s.GetPool()] = gap
		}
	}
}

// match returns the route of a request, or nil.
func (t *table) match(host, path string) *schema.Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && t.byHost[host] == nil {
		host = host[:i]
	}
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.GetPrefix()) {
			return r
		}
	}
	return nil
}

// share picks the pool of a request by the route's weights; random returns a
// number below its argument.
func share(r *schema.Route, random func(n int) int) string {
	total := 0
	for _, s := range r.GetShares() {
		total += int(s.GetWeight())
	}
	if total == 0 {
		return ""
	}
	at := random(total)
	for _, s := range r.GetShares() {
		if at -= int(s.GetWeight()); at < 0 {
			return s.GetPool()
		}
	}
	return ""
}
