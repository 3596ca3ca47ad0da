package roster

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"fennelyard/internal/schema"
)

const (
	// hostSilenceTimeout is how long a control host may send nothing before the leader
	// ignores it and the entries subscribed to it. Hosts send ten times a second, and
	// entries detect a silent host as soon as the leader does and subscribe to another.
	hostSilenceTimeout = 1200 * time.Millisecond
	// hostRetention is how much longer the entries of a silent or disconnected host stay in
	// the directory for callers: they are running and subscribe to another host within a
	// moment. If they were removed at once, a ninth of all entries would leave the
	// directory whenever a control host restarts.
	hostRetention = 2 * time.Second
	// listDelay is how long a new leader waits before it sends the lists of hosts and
	// entries. Hosts connect to it within a few tenths of a second; the lists made of the
	// first one alone would send all entries to that host and all callers to its entries.
	listDelay = time.Second
	// maxHostsWithLeader is the largest number of control hosts at which the leader itself
	// is listed for entries. 33 entries cost the leader 0.03 of a core, as much as all its
	// decisions; with eight other hosts, each of these serves four more entries instead.
	maxHostsWithLeader = 5
	// maxLoadSumAge is how long the sum of the entries' loads is reused before it is
	// computed again. It is sent to each control host ten times a second.
	maxLoadSumAge = 50 * time.Millisecond
	// entryCountLogInterval is the minimum time between two log lines with the number of a
	// host's entries, which changes with each report while hundreds of entries move.
	entryCountLogInterval = time.Second
)

// hostState is the leader's record of one control host, from its newest stream.
type hostState struct {
	host         *schema.ControlHost
	lastReceived time.Time
	// stream distinguishes a host's newer stream from an older one that ends late.
	stream uint64
	// silent is set once the host has sent nothing for hostSilenceTimeout or its stream has
	// ended.
	silent bool
	// lagging is set while the host sends no updates to entries, since laggingSince.
	lagging      bool
	laggingSince time.Time
	// entries are the entries subscribed to the host.
	entries []*schema.AttendingEntry
	// loads are the loads of these entries at the engines.
	loads []*schema.EngineLoad
	// progress is how far the host and its entries have acknowledged, as the host reports
	// it.
	progress Progress
	// behindEntries names the entries that have acknowledged no more than progress.
	behindEntries []string
	// loggedCount is the number of entries that was logged last, and loggedAt when.
	loggedCount int
	loggedAt    time.Time
}

// HostConnected adds a control host that has opened a stream. Stream numbers increase.
func (r *Roster) HostConnected(stream uint64, host *schema.ControlHost) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := &hostState{host: host, lastReceived: r.cfg.Now(), stream: stream}
	if old := r.hosts[host.GetAddress()]; old != nil {
		r.addRequests(old.loads, -1)
		// The first report on the new stream replaces these entries.
		h.entries = old.entries
	}
	r.hosts[host.GetAddress()] = h
	r.cfg.Log.Info("host follows", "host", host.GetAddress(), "data-centre", host.GetDataCentre())
}

// currentHost returns a host if the stream is its newest, or nil; the caller holds mu.
func (r *Roster) currentHost(stream uint64, host string) *hostState {
	if h := r.hosts[host]; h != nil && h.stream == stream {
		return h
	}
	return nil
}

// ApplyHostReport applies a report that a control host sent in a term. A roster position of
// another term is ignored.
func (r *Roster) ApplyHostReport(stream uint64, host string, term uint64, report *schema.HostNews) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.currentHost(stream, host)
	if h == nil {
		return
	}
	h.lastReceived = r.cfg.Now()
	if h.silent {
		h.silent = false
		r.cfg.Log.Info("host state", "host", host, "silent", false)
	}
	before := h.progress
	h.progress = Progress{Revision: report.GetRevision()}
	if known := PositionOf(report.GetKnown()); known.Term == term {
		h.progress.Change = known.Change
	}
	h.behindEntries = report.GetBehind()
	if h.lagging != report.GetLagging() {
		h.lagging, h.laggingSince = report.GetLagging(), h.lastReceived
		r.cfg.Log.Info("host state", "host", host, "silent", false, "lagging", h.lagging)
	}
	if report.GetLoadsTold() {
		r.addRequests(h.loads, -1)
		r.addRequests(report.GetLoads(), 1)
		h.loads = report.GetLoads()
	}
	if report.GetEntriesTold() {
		r.trackAbsent(h, report.GetEntries(), before)
		h.entries = report.GetEntries()
	}
	if len(h.entries) != h.loggedCount && h.lastReceived.Sub(h.loggedAt) >= entryCountLogInterval {
		h.loggedCount, h.loggedAt = len(h.entries), h.lastReceived
		r.cfg.Log.Info("entries of host", "host", host, "count", h.loggedCount)
	}
}

// HostSilent reports whether a host's stream has been silent for too long or is not its
// newest. The caller ends such a stream, so that a host that receives but can't send does
// not assume that it is connected.
func (r *Roster) HostSilent(stream uint64, host string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.currentHost(stream, host)
	return h == nil || h.silent
}

// HostLagging reports whether a host has reported that it sends no updates to entries.
func (r *Roster) HostLagging(stream uint64, host string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.currentHost(stream, host)
	return h != nil && h.lagging
}

// HostDisconnected records the end of a control host's stream, and why it ended.
func (r *Roster) HostDisconnected(stream uint64, host, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if h := r.currentHost(stream, host); h != nil && !h.silent {
		r.markSilent(h, strings.TrimSuffix("its stream ended: "+reason, ": "))
	}
}

// markSilent marks a host as silent and removes its loads; the caller holds mu.
func (r *Roster) markSilent(h *hostState, reason string) {
	h.silent = true
	// Its entries' requests at engines may still run, but nothing reports them any longer.
	r.addRequests(h.loads, -1)
	h.loads = nil
	r.cfg.Log.Info("host state", "host", h.host.GetAddress(), "silent", true, "reason", reason, "entries", len(h.entries))
}

// SweepHosts marks control hosts that have sent nothing for hostSilenceTimeout as silent,
// removes them together with their entries after hostRetention more, and updates the lists.
func (r *Roster) SweepHosts() {
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.updateLists()
	for address, h := range r.hosts {
		silent := r.cfg.Now().Sub(h.lastReceived)
		if !h.silent && silent > hostSilenceTimeout {
			r.markSilent(h, "no report received")
		}
		if h.silent && silent > hostSilenceTimeout+hostRetention {
			delete(r.hosts, address)
		}
	}
}

// UpdateSince returns what changed after a change number, as an update without a term and
// without replies to queries. It is one consistent snapshot: a list that changed between
// two reads would count as sent and never be sent.
func (r *Roster) UpdateSince(after uint64) *schema.LeaderNews {
	r.mu.Lock()
	defer r.mu.Unlock()
	servers, change := r.serversSince(after)
	update := &schema.LeaderNews{
		Servers: servers, Whole: after == 0, Settled: r.settledChange != 0, Confirm: r.ackWaiters > 0,
		Known: Position{Change: change}.Message(),
	}
	if r.entriesChange > after {
		update.Entries = r.entries
	}
	if r.hostsChange > after {
		update.Hosts = r.listedHosts
	}
	return update
}

// updateLists rebuilds the lists of control hosts and entries and stores those that
// changed. It runs only a few times a second: while all entries restart in turn or move
// from host to host, a list of 300, 17 KB, would otherwise be sent to each of them with
// every change. The caller holds mu.
func (r *Roster) updateLists() {
	if r.cfg.Now().Sub(r.termStart) < listDelay {
		return
	}
	r.trackLostEntries()
	if entries := r.entryList(); !proto.Equal(entries, r.entries) {
		r.entries, r.entriesChange = entries, r.nextChange()
	}
	if hosts := r.hostList(); !proto.Equal(hosts, r.listedHosts) {
		r.listedHosts, r.hostsChange = hosts, r.nextChange()
	}
}

// HasRequests reports whether any entry has requests for a model at an engine.
func (r *Roster) HasRequests(server, model string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.requests[serverModel{server, model}] > 0
}

// serverModel identifies a model at an engine.
type serverModel struct{ server, model string }

// addRequests adds by to the count of each model with requests in a host's loads; by is -1
// to remove them. The caller holds mu.
func (r *Roster) addRequests(loads []*schema.EngineLoad, by int) {
	for _, l := range loads {
		for _, model := range l.GetModels() {
			key := serverModel{l.GetServer(), model}
			if r.requests[key] += by; r.requests[key] == 0 {
				delete(r.requests, key)
			}
		}
	}
}

// maxLoads is the maximum number of engines, the busiest ones, whose loads are sent in one
// update: at 25 bytes each and three updates a second, 5 KB/s per entry.
const maxLoads = 64

// Loads returns the sum of all entries' loads at the engines, at most maxLoadSumAge old.
// The caller must not modify it.
func (r *Roster) Loads() *schema.EngineLoads {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := r.cfg.Now(); r.loads == nil || now.Sub(r.loadsAt) > maxLoadSumAge {
		r.loads, r.loadsAt = r.sumLoads(), now
	}
	return r.loads
}

func (r *Roster) sumLoads() *schema.EngineLoads {
	sums := map[string]*schema.EngineLoad{}
	for _, h := range r.hosts {
		for _, l := range h.loads {
			if l.GetRunning() == 0 && l.GetUnread() == 0 {
				continue
			}
			s := sums[l.GetServer()]
			if s == nil {
				s = &schema.EngineLoad{Server: l.GetServer()}
				sums[l.GetServer()] = s
			}
			s.Running += l.GetRunning()
			s.Unread += l.GetUnread()
		}
	}
	out := &schema.EngineLoads{Loads: slices.Collect(maps.Values(sums))}
	slices.SortFunc(out.Loads, func(a, b *schema.EngineLoad) int {
		return cmp.Or(cmp.Compare(b.GetUnread(), a.GetUnread()), cmp.Compare(b.GetRunning(), a.GetRunning()),
			cmp.Compare(a.GetServer(), b.GetServer()))
	})
	out.Loads = out.Loads[:min(len(out.Loads), maxLoads)]
	return out
}

// CoolingEntries returns, by engine, the number of entries that the engine has asked for a cooldown.
func (r *Roster) CoolingEntries() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]int{}
	for _, h := range r.hosts {
		for _, l := range h.loads {
			if n := l.GetCooling(); n > 0 {
				out[l.GetServer()] += int(n)
			}
		}
	}
	return out
}

// EntryCount returns the number of entries subscribed to the control hosts.
func (r *Roster) EntryCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, h := range r.hosts {
		n += len(h.entries)
	}
	return n
}

// hostList returns the control hosts that entries can subscribe to; the caller holds mu.
func (r *Roster) hostList() *schema.ControlHostList {
	list := &schema.ControlHostList{}
	for _, h := range r.hosts {
		if !h.silent && !h.lagging {
			list.Hosts = append(list.Hosts, h.host)
		}
	}
	if len(list.Hosts) > maxHostsWithLeader {
		list.Hosts = slices.DeleteFunc(list.Hosts, func(h *schema.ControlHost) bool { return h.GetAddress() == r.cfg.Self })
	}
	slices.SortFunc(list.Hosts, func(a, b *schema.ControlHost) int { return cmp.Compare(a.GetAddress(), b.GetAddress()) })
	return list
}

// entryList returns the entries that callers may be sent to; the caller holds mu.
func (r *Roster) entryList() *schema.EntryList {
	list := &schema.EntryList{}
	for _, e := range r.subscribedEntries() {
		if !e.GetStopping() {
			list.Entries = append(list.Entries, e.GetEntry())
		}
	}
	slices.SortFunc(list.Entries, func(a, b *schema.RosterEntry) int { return cmp.Compare(a.GetHost(), b.GetHost()) })
	return list
}

// subscribedEntries returns every entry once, by its host: the one with the newest stream,
// where several control hosts still list it. The caller holds mu.
func (r *Roster) subscribedEntries() map[string]*schema.AttendingEntry {
	out := map[string]*schema.AttendingEntry{}
	for _, h := range r.hosts {
		for _, e := range h.entries {
			host := e.GetEntry().GetHost()
			if other := out[host]; other == nil || e.GetStream() > other.GetStream() {
				out[host] = e
			}
		}
	}
	return out
}
