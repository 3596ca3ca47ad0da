package entry

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"fennelyard/internal/gossip"
	"fennelyard/internal/incarnation"
	"fennelyard/internal/ledger"
	"fennelyard/internal/path"
	"fennelyard/internal/routing"
	"fennelyard/internal/tunnel"
)

// startPaths creates what connects this entry to backend servers, through other entries while it has lost its
// own path, and what carries their connections.
func (e *Entry) startPaths() {
	dial := e.dial()
	e.paths = path.New(path.Config{
		Direct: dial, Through: tunnel.NewOpener(dial), Hosts: e.tunnelHosts, OnChange: func() {},
		Cooling:   func(address string) bool { return e.cooldownAt(address) > 0 },
		AnyServer: e.anyServer,
		Random:    e.cfg.Random, Log: e.cfg.Log.WithName("path"),
	})
	e.tunnels = tunnel.NewServer(tunnel.ServerConfig{
		Connect: e.paths.Connect, Log: e.cfg.Log.WithName("tunnel"), IsServer: e.isServer,
		Available:    func() bool { return !e.stopping.Load() && !e.paths.Lost() },
		Reaches:      func(address string) bool { return !e.paths.LostTo(address) },
		ReachesOther: e.paths.ReachesOther,
		Cooldown:     e.cooldownAt,
		OnCooldown:   e.carriedCooldown,
	})
	e.stateCooldown = tunnel.NewCooldownReporter(dial, e.cfg.Log)
}

// backendHandler serves announcements of backend servers, and tunnels and evidence of other entries.
func (e *Entry) backendHandler() http.Handler {
	announcements, suspects := e.backendRoutes(), gossip.NewHandler(e.gossip)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case tunnel.IsRequest(r):
			e.tunnels.ServeHTTP(w, r)
		case gossip.IsRequest(r):
			suspects.ServeHTTP(w, r)
		default:
			announcements.ServeHTTP(w, r)
		}
	})
}

// tunnelHosts returns the addresses of the other entries that are available: those of the own data centre, and
// all others.
func (e *Entry) tunnelHosts() (preferred, others []string) {
	available := e.availableEntries()
	for _, h := range e.cfg.Settings.GetHosts() {
		switch {
		case !available[h.GetName()] || h.GetName() == e.cfg.Self.GetName():
		case h.GetDataCentre() == e.cfg.Self.GetDataCentre():
			preferred = append(preferred, h.GetBackendAddress())
		default:
			others = append(others, h.GetBackendAddress())
		}
	}
	return preferred, others
}

// anyServer returns the address of a known server that is none of those given, empty if there is none.
func (e *Entry) anyServer(except ...string) (address string) {
	e.cfg.Replica.View(func(r *ledger.Records) {
		for _, s := range r.Servers() {
			if s.GetAddress() != "" && !slices.Contains(except, s.GetAddress()) {
				address = s.GetAddress()
				return
			}
		}
	})
	return address
}

// serversAt returns the incarnations of the known servers at an address.
func (e *Entry) serversAt(address string) []string {
	var out []string
	e.cfg.Replica.View(func(r *ledger.Records) {
		for _, s := range r.Servers() {
			if s.GetAddress() == address {
				out = append(out, e.candidate(s).ServerKey())
			}
		}
	})
	return out
}

func (e *Entry) isServer(address string) bool { return len(e.serversAt(address)) > 0 }

// cooldownAt returns the longest cooldown of the servers at an address.
func (e *Entry) cooldownAt(address string) time.Duration {
	longest, now := time.Duration(0), time.Now()
	for _, server := range e.serversAt(address) {
		longest = max(longest, e.table.Cooldown(now, server))
	}
	return longest
}

// carriedCooldown applies a cooldown that a server has stated in a response to another entry, whose request
// arrived there from this one.
func (e *Entry) carriedCooldown(server string, wait time.Duration) {
	name, now := incarnation.Parse(server), time.Now()
	to := routing.Candidate{Server: name.Server, Incarnation: uint64(name.StartMs)}
	left := e.table.ObserveCooldown(now, to, wait, now)
	e.requestCapacityRefresh()
	e.cfg.Log.Info("server states a cooldown", "server", server, "for-ms", wait.Milliseconds(),
		"no-request-for-ms", left.Milliseconds(), "carried", true)
	time.AfterFunc(left, e.requestCapacityRefresh)
}

// PathLost reports whether this entry has lost its own network path to the backend servers.
func (e *Entry) PathLost() bool { return e.paths.Lost() }

// withoutPath reports whether a call failed because this entry reaches no server.
func withoutPath(err error) bool { return errors.Is(err, routing.ErrNoPath) }

// closePaths resets the tunnels of other entries, once they have ended or the context has.
func (e *Entry) closePaths(ctx context.Context) {
	for e.tunnels.Active() > 0 && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(readinessPollInterval / 10):
		}
	}
	e.tunnels.Reset()
	e.paths.Close()
}
