package ledger

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"fennelyard/internal/schema"
)

// departureRetentionMs is how long a departure is remembered. Announcements of a server
// that has left arrive up to some seconds late, and no server runs for minutes after it has
// announced that it leaves.
const departureRetentionMs = 10 * 60 * 1000

// ConfigurationKey is the key of the record that heads the configuration.
const ConfigurationKey = "configuration"

const (
	routePrefix       = "route/"
	poolPrefix        = "pool/"
	teamPrefix        = "team/"
	departurePrefix   = "departure/"
	orderHolderPrefix = "order-holder/"
)

// RouteKey returns the key of a route's record.
func RouteKey(name string) string { return routePrefix + name }

// PoolKey returns the key of a pool's record.
func PoolKey(name string) string { return poolPrefix + name }

// TeamKey returns the key of a team's record.
func TeamKey(name string) string { return teamPrefix + name }

// DepartureKey returns the key of a backend server's departure.
func DepartureKey(server string) string { return departurePrefix + server }

// OrderHolderKey returns the key of an engine's order holder.
func OrderHolderKey(server string) string { return orderHolderPrefix + server }

// OrderHolder returns the host that sends an engine its orders, or nil.
func (r *Records) OrderHolder(server string) *schema.OrderHolder {
	return r.byKey[OrderHolderKey(server)].GetOrderHolder()
}

// OrderHolders returns all order holders in unspecified order.
func (r *Records) OrderHolders() []*schema.OrderHolder {
	return valuesOf(r, (*schema.Record).GetOrderHolder)
}

// valuesOf returns the values of one kind in unspecified order.
func valuesOf[T any](r *Records, value func(*schema.Record) *T) []*T {
	var out []*T
	for _, rec := range r.byKey {
		if v := value(rec); v != nil {
			out = append(out, v)
		}
	}
	return out
}

// Configuration returns the head of the complete configuration in force, or nil.
func (r *Records) Configuration() *schema.Configuration {
	return r.byKey[ConfigurationKey].GetConfiguration()
}

// Departure returns the record that an incarnation of a backend server takes no new work,
// or nil.
func (r *Records) Departure(server string) *schema.Departure {
	return r.byKey[DepartureKey(server)].GetDeparture()
}

// Routes returns all routes in unspecified order.
func (r *Records) Routes() []*schema.Route { return slices.Collect(maps.Values(r.routes)) }

// Pools returns all pools, sorted by name.
func (r *Records) Pools() []*schema.Pool {
	out := slices.Collect(maps.Values(r.pools))
	slices.SortFunc(out, func(a, b *schema.Pool) int { return cmp.Compare(a.GetName(), b.GetName()) })
	return out
}

// Teams returns all teams in unspecified order.
func (r *Records) Teams() []*schema.Team { return slices.Collect(maps.Values(r.teams)) }

// Team returns a team, or nil.
func (r *Records) Team(name string) *schema.Team { return r.teams[name] }

// putConfiguration puts a complete configuration in force. The highest version wins
// whatever the order of arrival: operators race and resend, and a resent command must not
// revert a later one. Unchanged records keep their revision, so that followers receive only
// the difference.
func (l *Ledger) putConfiguration(q *schema.PutConfiguration) *schema.Result {
	if old := l.records.Configuration(); old != nil && q.GetConfiguration().GetVersion() <= old.GetVersion() {
		return accepted()
	}
	included := map[string]bool{}
	for _, r := range q.GetRoutes() {
		included[RouteKey(r.GetName())] = true
		l.putIfChanged(&schema.Record{Key: RouteKey(r.GetName()), Value: &schema.Record_Route{Route: r}})
	}
	for _, p := range q.GetPools() {
		included[PoolKey(p.GetName())] = true
		l.putIfChanged(&schema.Record{Key: PoolKey(p.GetName()), Value: &schema.Record_Pool{Pool: p}})
	}
	for _, t := range q.GetTeams() {
		included[TeamKey(t.GetName())] = true
		l.putIfChanged(&schema.Record{Key: TeamKey(t.GetName()), Value: &schema.Record_Team{Team: t}})
	}
	for _, rec := range l.records.All() {
		key := rec.GetKey()
		if IsRoutingKey(key) && !included[key] {
			l.drop(key)
		}
	}
	l.put(&schema.Record{
		Key: ConfigurationKey, Value: &schema.Record_Configuration{Configuration: q.GetConfiguration()},
	})
	return accepted()
}

// departServer records that a backend server takes no new work, so that the next leader has
// this even if the server never announces itself again.
func (l *Ledger) departServer(q *schema.DepartServer) *schema.Result {
	for _, rec := range l.records.All() {
		if d := rec.GetDeparture(); d != nil && d.GetAtMs()+departureRetentionMs < l.clockMs {
			l.drop(rec.GetKey())
		}
	}
	l.putIfChanged(&schema.Record{Key: DepartureKey(q.GetServer()), Value: &schema.Record_Departure{
		Departure: &schema.Departure{Server: q.GetServer(), AtMs: l.clockMs},
	}})
	return accepted()
}

// assignOrderHolders records which hosts send engines their orders. It is committed before
// the first order is sent: every later leader continues through the same host, so that no
// engine receives orders from two hosts in turn. A change from another holder than the
// recorded one is ignored, as its leader was not up to date.
func (l *Ledger) assignOrderHolders(q *schema.AssignOrderHolders) *schema.Result {
	for _, c := range q.GetChanges() {
		h := c.GetHolder()
		if l.records.OrderHolder(h.GetServer()).GetHost() != c.GetFrom() {
			continue
		}
		l.putIfChanged(&schema.Record{Key: OrderHolderKey(h.GetServer()), Value: &schema.Record_OrderHolder{OrderHolder: h}})
	}
	for _, server := range q.GetForgotten() {
		if l.records.Record(OrderHolderKey(server)) != nil {
			l.drop(OrderHolderKey(server))
		}
	}
	return accepted()
}

// IsRoutingKey reports whether a key is that of a route, a pool or a team.
func IsRoutingKey(key string) bool {
	return strings.HasPrefix(key, routePrefix) || strings.HasPrefix(key, poolPrefix) || strings.HasPrefix(key, teamPrefix)
}
