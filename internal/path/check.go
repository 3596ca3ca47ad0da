package path

import (
	"context"
	"slices"
	"sync"
	"time"

	"fennelyard/internal/tcp"
)

const (
	// checkInterval is the time between two rounds of checks of lost paths, and checkBatch the number
	// of servers in a round: a host that has lost its path to thousands of servers tries a few.
	checkInterval = 500 * time.Millisecond
	checkBatch    = 8
)

func (d *Dialer) requestCheck() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// check tries lost paths until each leads to its server again. While only some servers are out of reach, those
// that were reached last show that others are not.
func (d *Dialer) check() {
	for {
		select {
		case <-d.stop:
			return
		case <-d.wake:
		}
		for {
			d.recheckLost()
			addresses, pause := d.nextChecks(time.Now())
			if pause < 0 {
				break
			}
			if addresses = slices.DeleteFunc(addresses, d.cfg.Cooling); len(addresses) > 0 {
				d.checkAll(addresses)
			}
			select {
			case <-d.stop:
				return
			case <-d.wake:
			case <-time.After(pause):
			}
		}
	}
}

// recheckLost sets lost and unreached once no server was reached for long enough.
func (d *Dialer) recheckLost() {
	d.mu.Lock()
	changed := d.updateLost(time.Now())
	d.mu.Unlock()
	if changed {
		d.cfg.OnChange()
	}
}

// nextChecks returns the servers to check now, those first that were checked the longest ago, and the
// pause after them; it is negative if nothing is lost.
func (d *Dialer) nextChecks(now time.Time) (addresses []string, pause time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire(now)
	unreached := d.lost || d.unreached
	anyLost, due := unreached, 0
	for _, s := range d.servers {
		anyLost = anyLost || !s.lostAt.IsZero() || s.directFailedAt.After(d.reachedAt)
	}
	if anyLost {
		d.addReached(now)
	}
	for address, s := range d.servers {
		if s.lostAt.IsZero() && !unreached && address != d.reached && address != d.reachedBefore {
			continue
		}
		if now.Sub(s.checkedAt) < checkInterval {
			continue
		}
		due++
		addresses = d.insertOldest(addresses, address)
	}
	for _, address := range addresses {
		d.servers[address].checkedAt = now
	}
	switch {
	case !anyLost:
		return nil, -1
	case !unreached && due > checkBatch:
		// The path may be back to all of them.
		return addresses, 0
	}
	return addresses, checkInterval
}

// insertOldest inserts a server into a list of at most checkBatch, in the order of their last checks;
// the caller holds mu.
func (d *Dialer) insertOldest(list []string, address string) []string {
	i := len(list)
	for i > 0 && d.servers[address].checkedAt.Before(d.servers[list[i-1]].checkedAt) {
		i--
	}
	if i >= checkBatch {
		return list
	}
	list = append(list[:i], append([]string{address}, list[i:]...)...)
	return list[:min(len(list), checkBatch)]
}

// checkAll tries the direct paths to some servers.
func (d *Dialer) checkAll(addresses []string) {
	ctx, cancel := context.WithTimeout(context.Background(), tcp.ConnectTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, address := range addresses {
		wg.Go(func() {
			if conn, err := d.Connect(ctx, address); err == nil {
				tcp.Reset(conn)
			}
		})
	}
	wg.Wait()
}
