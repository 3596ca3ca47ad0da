package loading

import (
	"context"
	"time"

	"fennelyard/internal/asynclog"
	"fennelyard/internal/roster"
	"fennelyard/internal/schema"
)

// recallServers goes on with the servers that earlier leaders recorded, without
// waiting for their announcements: plain ones as they are, engines once they have
// said what they hold. After all hosts lost power the first engine that announced
// itself was sent all that waited, and the last was heard of 1.2 s later.
func (d *Driver) recallServers(now time.Time) {
	d.pools = poolsOf(d.cfg.Pools(), d.pools)
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
			case d.asking <- struct{}{}:
			case <-d.stop:
				return
			}
			if d.recalls(term) && !d.knows(k.GetId()) {
				defer d.asked(time.Now())
				d.recallEngine(k, term, now)
				return
			}
			<-d.asking
		}()
	}
}

func announcementOf(k *schema.KnownServer) roster.Announcement {
	return roster.Announcement{
		ID: k.GetId(), Pool: k.GetPool(), Address: k.GetAddress(), DataCentre: k.GetDataCentre(), Slots: int(k.GetSlots()),
	}
}

// recallEngine asks an engine what it holds, and takes the answer for its
// announcement unless one has come meanwhile.
func (d *Driver) recallEngine(k *schema.KnownServer, term uint64, at time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), orderWait)
	defer cancel()
	r, err := d.report(ctx, k.GetAddress(), k.GetId())
	if err != nil {
		d.cfg.Log.Info("engine not recalled", "server", k.GetId(), "error", asynclog.ErrorText(err))
		return
	}
	a := announcementOf(k)
	a.Loaded, a.InMemory, a.OnDisk = r.Loaded, r.InMemory, r.OnDisk
	if !d.recalls(term) || !d.cfg.Roster.Restore(a) {
		return
	}
	d.HandleAnnouncement(a)
	d.mu.Lock()
	e := d.engines[a.ID]
	d.mu.Unlock()
	if e != nil {
		d.reported(e, phaseUnknown, 0, at, r, nil)
	}
}

// knows reports whether an engine has been heard of, and is asked for that.
func (d *Driver) knows(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.engines[id] != nil
}

// recalls reports whether this host still leads in a term.
func (d *Driver) recalls(term uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.leads && d.term == term
}
