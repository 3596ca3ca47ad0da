// Package gateway receives callers' requests on the routes of a complete configuration, chooses
// a backend server for each and forwards the response. It has no durable state: what it knows
// comes from the leader of the control group.
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

// routeTable is an immutable configuration that requests are matched against.
type routeTable struct {
	version uint64
	limits  *schema.CallerLimits
	// byHost holds the routes of a host, the longest prefix first.
	byHost map[string][]*schema.Route
	pools  map[string]*schema.Pool
	teams  *team.Directory
	// minGaps is, by pool, the least of the longest pauses between events that the routes allow
	// its streams; pools without a limit are missing.
	minGaps map[string]time.Duration
	// versions are the versions of servers' software that are recorded as in use, by pool.
	versions map[string][]string
}

func newRouteTable(r *ledger.Records) *routeTable {
	head := r.Configuration()
	if head == nil {
		return nil
	}
	t := &routeTable{
		version: head.GetVersion(), limits: head.GetLimits(),
		byHost: map[string][]*schema.Route{}, pools: map[string]*schema.Pool{}, minGaps: map[string]time.Duration{}, versions: map[string][]string{},
	}
	for _, route := range r.Routes() {
		t.byHost[route.GetHost()] = append(t.byHost[route.GetHost()], route)
		t.addGap(route)
	}
	for _, routes := range t.byHost {
		slices.SortFunc(routes, func(a, b *schema.Route) int { return cmp.Compare(len(b.GetPrefix()), len(a.GetPrefix())) })
	}
	for _, p := range r.Pools() {
		t.pools[p.GetName()] = p
	}
	for _, v := range r.PoolVersions() {
		t.versions[v.GetPool()] = append(t.versions[v.GetPool()], v.GetSoftware())
	}
	t.teams = team.NewDirectory(head.GetKeySalt(), r.Teams())
	return t
}

// addGap applies the longest pause between events that a route allows to the pools of the route.
func (t *routeTable) addGap(r *schema.Route) {
	gap := time.Duration(r.GetGapMs()) * time.Millisecond
	if !r.GetStream() || gap <= 0 {
		return
	}
	for _, s := range r.GetShares() {
		if current := t.minGaps[s.GetPool()]; current == 0 || gap < current {
			t.minGaps[s.GetPool()] = gap
		}
	}
}

// match returns the route of a request, or nil.
func (t *routeTable) match(host, path string) *schema.Route {
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

// pickPool picks the pool of a request by the route's weights; random returns a number from 0
// to below its argument.
func pickPool(r *schema.Route, random func(n int) int) string {
	total := 0
	for _, s := range r.GetShares() {
		total += int(s.GetWeight())
	}
	if total == 0 {
		return ""
	}
	point := random(total)
	for _, s := range r.GetShares() {
		if point -= int(s.GetWeight()); point < 0 {
			return s.GetPool()
		}
	}
	return ""
}
