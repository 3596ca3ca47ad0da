package gateway

import (
	"slices"
	"time"
)

// IsServer reports whether an address is the one of a known backend server.
func (g *Gateway) IsServer(address string) bool { return g.fleet.hasAddress(address) }

// AnyServer returns the address of a backend server that takes requests and is none of those given, empty
// if there is none.
func (g *Gateway) AnyServer(except ...string) string { return g.fleet.anyReady(except) }

// anyReady returns the address of a server that takes new work, but none of some.
func (f *fleet) anyReady(except []string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for _, s := range f.servers {
		if s.ready() && !now.Before(s.ejectedUntil) && !slices.Contains(except, s.address) {
			return s.address
		}
	}
	return ""
}

// CarriesTunnels reports whether this entry takes new tunnels of other entries: a stopping one does not.
func (g *Gateway) CarriesTunnels() bool { return !g.isDraining() }

// TunnelHosts returns the addresses of the other entries that reach the backend servers and carry
// tunnels to them: those to prefer, and all others. Entries of the own data centre are preferred as long
// as at least half of its entries reach the servers; fewer would have to carry all requests of the data
// centre. If no entry reaches any server, their reports say nothing about paths, and all are returned.
func (g *Gateway) TunnelHosts() (preferred, others []string) {
	list := g.entries.Load()
	if list == nil {
		return nil, nil
	}
	inDataCentre := 0
	var unreached []string
	for _, e := range *list {
		local := e.GetDataCentre() == g.cfg.Self.GetDataCentre()
		if local {
			inDataCentre++
		}
		switch {
		case e.GetHost() == g.cfg.Self.GetHost() || e.GetTunnelAddress() == "":
		case e.GetPathLost():
			unreached = append(unreached, e.GetTunnelAddress())
		case local:
			preferred = append(preferred, e.GetTunnelAddress())
		default:
			others = append(others, e.GetTunnelAddress())
		}
	}
	switch {
	case len(preferred)+len(others) == 0:
		return nil, unreached
	case 2*len(preferred) < inDataCentre:
		return nil, slices.Concat(preferred, others)
	}
	return preferred, others
}

// ServerCooldown returns for how long the server at an address wants nothing from this entry.
func (g *Gateway) ServerCooldown(address string) time.Duration { return g.fleet.cooldownAt(address) }

// CarriedCooldown applies a cooldown that a server has stated in a response to another entry, whose
// request arrived there from this one.
func (g *Gateway) CarriedCooldown(server string, wait time.Duration) {
	now := time.Now()
	until := g.fleet.cooldowns.Observe(server, wait, now, now)
	g.cfg.Log.Info("server states a cooldown", "server", server, "for-ms", wait.Milliseconds(),
		"no-request-for-ms", time.Until(until).Milliseconds(), "carried", true)
}

// cooldownAt returns the longest cooldown of the servers at an address.
func (f *fleet) cooldownAt(address string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, longest := time.Now(), time.Duration(0)
	for id := range f.addresses[address] {
		longest = max(longest, f.cooldowns.Remaining(id, now))
	}
	return longest
}
