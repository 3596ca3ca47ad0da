package path

import (
	"slices"
	"time"

	"fennelyard/internal/asynclog"
)

// use records that a server is about to be used, and reports whether the path to it counts as lost.
func (d *Dialer) use(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	s := d.servers[address]
	if s == nil && d.lost {
		s = d.add(address, now)
	}
	if s != nil {
		s.usedAt = now
	}
	return d.lost || s != nil && !s.lostAt.IsZero()
}

// add remembers a server, nil if there are too many; the caller holds mu.
func (d *Dialer) add(address string, now time.Time) *server {
	if s := d.servers[address]; s != nil {
		return s
	}
	if len(d.servers) >= maxServers {
		return nil
	}
	s := &server{usedAt: now}
	d.servers[address] = s
	return s
}

// recordReached records that this host has reached a server over its own path.
func (d *Dialer) recordReached(address string) {
	d.mu.Lock()
	d.reachedAt = time.Now()
	if d.reached != address {
		d.reached, d.reachedBefore = address, d.reached
	}
	s := d.servers[address]
	if s != nil {
		delete(d.servers, address)
		d.logReached(address, s)
	}
	regained := d.lost
	if regained {
		d.lost = false
		d.cfg.Log.Info("path to servers regained", "server", address, "after-ms", time.Since(d.lostSince).Milliseconds())
		for _, other := range d.servers {
			other.checkedAt = time.Time{}
		}
	}
	d.mu.Unlock()
	if regained {
		d.requestCheck()
		d.cfg.OnChange()
	}
}

// logReached logs that a server is reached again; the caller holds mu.
func (d *Dialer) logReached(address string, s *server) {
	since := s.failedAt
	if !s.lostAt.IsZero() {
		since = s.lostAt
	}
	if !since.IsZero() {
		d.cfg.Log.Info("server reached again", "address", address, "after-ms", time.Since(since).Milliseconds(), "path-was-lost", !s.lostAt.IsZero())
	}
}

// recordLost records that another host has reached a server that this one has not.
func (d *Dialer) recordLost(address, via string, err error) {
	d.mu.Lock()
	now := time.Now()
	s := d.add(address, now)
	if s == nil {
		d.mu.Unlock()
		return
	}
	s.failedAt, s.carrier = time.Time{}, via
	if s.lostAt.IsZero() {
		s.lostAt, s.checkedAt = now, now
		d.cfg.Log.Info("path to server lost", "address", address, "via", via, "error", asynclog.ErrorText(err),
			"last-reached-ms", d.lastReachedMs(now))
	}
	lost := d.updateLost(now)
	d.mu.Unlock()
	d.requestCheck()
	if lost {
		d.cfg.OnChange()
	}
}

// updateLost sets lost if the path to enough servers is lost and none was reached for long enough. It
// reports whether this is new; the caller holds mu.
func (d *Dialer) updateLost(now time.Time) bool {
	if d.lost || now.Sub(d.reachedAt) < minUnreachedTime || d.lostSinceReached() < minLostServers {
		return false
	}
	d.lost, d.lostSince = true, now
	// The server that was reached last is the likeliest to be reached again.
	if d.reached != "" {
		d.add(d.reached, now)
	}
	d.cfg.Log.Info("path to servers lost", "servers", len(d.servers), "last-reached-ms", d.lastReachedMs(now))
	return true
}

// lastReachedMs returns the time since a server was last reached over this host's own path, in
// milliseconds, or -1 if none ever was; the caller holds mu.
func (d *Dialer) lastReachedMs(now time.Time) int64 {
	if d.reachedAt.IsZero() {
		return -1
	}
	return now.Sub(d.reachedAt).Milliseconds()
}

// lostSinceReached returns the number of servers to which the path was lost after a server was last
// reached; the caller holds mu.
func (d *Dialer) lostSinceReached() int {
	n := 0
	for _, s := range d.servers {
		if s.lostAt.After(d.reachedAt) {
			n++
		}
	}
	return n
}

// recordCarried records that another host has reached a server to which the path counts as lost.
func (d *Dialer) recordCarried(address, via string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.servers[address]
	if s == nil {
		return
	}
	if s.carrier = via; !s.failedAt.IsZero() {
		d.logReached(address, s)
		s.failedAt = time.Time{}
	}
}

// lastCarrier returns the host that reached a server last, empty if there is none or it is in asked.
func (d *Dialer) lastCarrier(address string, asked []string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.servers[address]
	if s == nil || slices.Contains(asked, s.carrier) || time.Now().Before(d.asideUntil[s.carrier]) {
		return ""
	}
	return s.carrier
}

// LostTo reports whether the path to a server counts as lost.
func (d *Dialer) LostTo(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.servers[address]
	return d.lost || s != nil && !s.lostAt.IsZero()
}

// recordFailed records that no path led to a server.
func (d *Dialer) recordFailed(address string, asked []string, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.expire(now)
	s := d.add(address, now)
	if s == nil || !s.failedAt.IsZero() {
		return
	}
	s.failedAt = now
	d.cfg.Log.Info("server not reached", "address", address, "error", asynclog.ErrorText(err), "hosts-asked", asked,
		"path-lost", d.lost || !s.lostAt.IsZero(), "last-reached-ms", d.lastReachedMs(now))
}

// expire removes servers that were not used for long; the caller holds mu.
func (d *Dialer) expire(now time.Time) {
	for address, s := range d.servers {
		if now.Sub(s.usedAt) > serverRetention {
			delete(d.servers, address)
		}
	}
}

// setAside records that a host carries no tunnel.
func (d *Dialer) setAside(host string, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for other, until := range d.asideUntil {
		if now.After(until) {
			delete(d.asideUntil, other)
		}
	}
	if _, known := d.asideUntil[host]; !known {
		d.cfg.Log.Info("host carries no tunnel", "address", host, "error", asynclog.ErrorText(err))
	}
	d.asideUntil[host] = now.Add(RetryInterval)
}

// nextHost returns a host to ask that is not in asked, empty if there is none. known is set if there
// are hosts at all. Once a preferred host was asked in vain, the others come first: what has cut this
// host off may have cut off all hosts near it.
func (d *Dialer) nextHost(asked []string) (host string, known bool) {
	preferred, others := d.cfg.Hosts()
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	groups := [][]string{preferred, others}
	if slices.ContainsFunc(asked, func(h string) bool { return slices.Contains(preferred, h) }) {
		groups = [][]string{others, preferred}
	}
	for _, group := range groups {
		usable := slices.DeleteFunc(slices.Clone(group), func(h string) bool {
			return slices.Contains(asked, h) || now.Before(d.asideUntil[h])
		})
		if len(usable) > 0 {
			return usable[d.cfg.Random(len(usable))], true
		}
	}
	return "", len(preferred)+len(others) > 0
}

// reserveUnconfirmed takes the place of a host that is asked while the path is not known to be lost.
func (d *Dialer) reserveUnconfirmed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.unconfirmed >= maxUnconfirmed {
		return false
	}
	d.unconfirmed++
	return true
}

func (d *Dialer) releaseUnconfirmed() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unconfirmed--
}
