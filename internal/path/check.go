package path

import (
	"context"
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

// check tries lost paths until each leads to its server again.
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
			if len(addresses) > 0 {
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

// recheckLost sets lost once no server was reached for long enough.
func (d *Dialer) recheckLost() {
	d.mu.Lock()
	lost := d.updateLost(time.Now())
	d.mu.Unlock()
	if lost {
		d.cfg.OnChange()
	}
}

// nextChecks returns the servers to check now, those first that were checked the longest ago, and the
// pause after them; it is negative if nothing is lost.
func (d *Dialer) nextChecks(now time.Time) (addresses []string, pause time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire(now)
	anyLost, due := d.lost, 0
	for _, s := range d.servers {
		anyLost = anyLost || !s.lostAt.IsZero()
	}
	if anyLost && d.reached != "" {
		// While only some servers are out of reach, it shows that others are not.
		d.add(d.reached, now)
	}
	for address, s := range d.servers {
		if s.lostAt.IsZero() && !d.lost && address != d.reached {
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
	case !d.lost && due > checkBatch:
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
			conn, err := d.cfg.Direct(ctx, address)
			if err != nil {
				return
			}
			tcp.Reset(conn)
			d.recordReached(address)
		})
	}
	wg.Wait()
}
