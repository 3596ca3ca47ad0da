package loading

import (
	"context"
	"time"

	"fennelyard/internal/asynclog"
	"fennelyard/internal/roster"
	"fennelyard/internal/schema"
)

// restoreServers restores the servers that earlier leaders recorded, without waiting for their
// announcements: plain servers as recorded, engines once they have reported their models.
// Without it, after a power loss of all hosts, the first engine that announced itself got all
// waiting requests, and the last one announced itself 1.2 s later.
func (d *Driver) restoreServers(now time.Time) {
	d.pools = updatePools(d.cfg.Pools(), d.pools)
	known := d.cfg.KnownServers()
	d.cfg.Log.Info("servers recalled", "count", len(known))
	for _, k := range known {
		if d.pools[k.GetPool()] == nil {
			d.cfg.Roster.Restore(announcementOf(k))
			continue
		}
		term := d.term
		d.wg.Add(1)
		go func() {
			defer d.wg.Done()
			select {
			case d.querySlots <- struct{}{}:
			case <-d.stop:
				return
			}
			if d.leadsIn(term) && !d.knowsEngine(k.GetId()) {
				defer d.releaseQuerySlot(time.Now())
				d.restoreEngine(k, term, now)
				return
			}
			<-d.querySlots
		}()
	}
}

func announcementOf(k *schema.KnownServer) roster.Announcement {
	return roster.Announcement{
		ID: k.GetId(), Pool: k.GetPool(), Address: k.GetAddress(), DataCentre: k.GetDataCentre(), Slots: int(k.GetSlots()),
		Software: k.GetSoftware(),
	}
}

// restoreEngine queries an engine for a report and uses it as its announcement unless one has
// arrived meanwhile.
func (d *Driver) restoreEngine(k *schema.KnownServer, term uint64, at time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	r, err := d.fetchReport(ctx, k.GetAddress(), k.GetId())
	if err != nil {
		d.cfg.Log.Info("engine not recalled", "server", k.GetId(), "error", asynclog.ErrorText(err))
		return
	}
	a := announcementOf(k)
	a.Loaded, a.InMemory, a.OnDisk = r.Loaded, r.InMemory, r.OnDisk
	if !d.leadsIn(term) || !d.cfg.Roster.Restore(a) {
		return
	}
	d.HandleAnnouncement(a)
	d.mu.Lock()
	e := d.engines[a.ID]
	d.mu.Unlock()
	if e != nil {
		d.handleReport(e, phaseUnknown, 0, at, r, nil)
	}
}

// knowsEngine reports whether an engine has announced itself. If so, the rounds query it for a
// report.
func (d *Driver) knowsEngine(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.engines[id] != nil
}

// leadsIn reports whether this host still leads in a term.
func (d *Driver) leadsIn(term uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.isLeader && d.term == term
}
