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
	changed := d.lost || d.unreached
	if d.unreached {
		d.unreached = false
		d.cfg.Log.Info("servers are reached", "server", address)
	}
	if d.lost {
		d.lost = false
		d.cfg.Log.Info("path to servers regained", "server", address, "after-ms", time.Since(d.lostSince).Milliseconds())
		for _, other := range d.servers {
			other.checkedAt = time.Time{}
		}
	}
	d.mu.Unlock()
	if changed {
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
	changed := d.updateLost(now)
	d.mu.Unlock()
	d.requestCheck()
	if changed {
		d.cfg.OnChange()
	}
}

// updateLost sets lost if the path to enough servers is lost and none was reached for long enough, and
// unreached if that many were tried in vain, whoever's fault it is. It reports whether either is new; the
// caller holds mu.
func (d *Dialer) updateLost(now time.Time) (changed bool) {
	if d.lost || now.Sub(d.reachedAt) < minUnreachedTime {
		return false
	}
	lost, failed := d.failedSinceReached()
	if lost >= minLostServers {
		d.lost, d.lostSince, changed = true, now, true
		d.cfg.Log.Info("path to servers lost", "servers", len(d.servers), "last-reached-ms", d.lastReachedMs(now))
	}
	if !d.unreached && failed >= minLostServers {
		d.unreached, changed = true, true
		d.cfg.Log.Info("no server reached", "servers", failed, "path-lost", d.lost, "last-reached-ms", d.lastReachedMs(now))
	}
	if changed {
		d.addReached(now)
	}
	return changed
}

// addReached adds the servers that were reached last: these are the likeliest to be reached again. The caller
// holds mu.
func (d *Dialer) addReached(now time.Time) {
	for _, address := range []string{d.reached, d.reachedBefore} {
		if address != "" {
			d.add(address, now)
		}
	}
}

// lastReachedMs returns the time since a server was last reached over this host's own path, in
// milliseconds, or -1 if none ever was; the caller holds mu.
func (d *Dialer) lastReachedMs(now time.Time) int64 {
	if d.reachedAt.IsZero() {
		return -1
	}
	return now.Sub(d.reachedAt).Milliseconds()
}

// failedSinceReached returns the numbers of servers to which the path was lost, and that were tried in vain,
// after a server was last reached; the caller holds mu.
func (d *Dialer) failedSinceReached() (lost, failed int) {
	for _, s := range d.servers {
		if s.lostAt.After(d.reachedAt) {
			lost++
		}
		if s.directFailedAt.After(d.reachedAt) {
			failed++
		}
	}
	return lost, failed
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

// recordDirectFailure records that this host has tried a server in vain over its own path. If it has reached
// none for a while, those that were reached last are checked: hosts that ask this one must know soon.
func (d *Dialer) recordDirectFailure(address string) {
	d.mu.Lock()
	now := time.Now()
	if s := d.add(address, now); s != nil {
		s.directFailedAt = now
	}
	changed := d.updateLost(now)
	check := now.Sub(d.reachedAt) >= checkInterval
	d.mu.Unlock()
	if check {
		d.requestCheck()
	}
	if changed {
		d.cfg.OnChange()
	}
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
