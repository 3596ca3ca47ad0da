package roster

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"fennelyard/internal/schema"
)

const (
	// hostSilence is how long a control host may say nothing before the leader counts
	// neither on it nor on the entries that attend it. Hosts speak ten times a second, and
	// entries notice as soon that their host is silent, and attend another.
	hostSilence = 1200 * time.Millisecond
	// hostKeep is for how much longer callers are sent to the entries of a host that is
	// silent or gone: they live, and attend another host within a moment. Dropped at once,
	// a ninth of all entries would leave the directory whenever a control host restarts.
	hostKeep = 2 * time.Second
	// listAfter is how long a new leader waits before it tells which hosts and entries
	// there are: hosts find it within a few tenths of a second, and the lists of the first
	// one would send all entries to it, and all callers to its entries.
	listAfter = time.Second
	// spareLeaderFrom is the number of control hosts from which on entries are sent to
	// others than the leader: 33 entries cost it 0.03 of a core, as much as it spends on
	// deciding, and with eight others each of these has four more for it.
	spareLeaderFrom = 5
	// loadsKeep is for how long the sum of the entries' loads is told before it is worked
	// out anew: it is told to each control host ten times a second.
	loadsKeep = 50 * time.Millisecond
	// entriesLogged is how often the number of a host's entries is logged at most: while
	// hundreds of them move it changes with each word.
	entriesLogged = time.Second
)

// following is one control host's stream to the leader.
type following struct {
	host  *schema.ControlHost
	heard time.Time
	// stream tells a host's newer stream from an older one that ends late.
	stream uint64
	// silent is set once the host has said nothing for hostSilence, or its stream ended.
	silent bool
	// lagging is set while the host tells entries nothing.
	lagging bool
	// entries are those that attend the host.
	entries []*schema.AttendingEntry
	// loads is what these have at the engines.
	loads []*schema.EngineLoad
	// told is how far the host and its entries have been told, by their own word.
	told Progress
	// behind names entries that are told no further than told.
	behind []string
	// count is how many entries were logged last, and counted when.
	count   int
	counted time.Time
}

// HostConnected notes that a control host speaks on a stream; stream numbers grow.
func (r *Roster) HostConnected(stream uint64, host *schema.ControlHost) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := &following{host: host, heard: r.cfg.Now(), stream: stream}
	if old := r.hosts[host.GetAddress()]; old != nil {
		r.count(old.loads, -1)
		// Its entries are heard again with its first word.
		f.entries = old.entries
	}
	r.hosts[host.GetAddress()] = f
	r.cfg.Log.Info("host follows", "host", host.GetAddress(), "data-centre", host.GetDataCentre())
}

// present returns a host if the stream is its newest; mu is held.
func (r *Roster) present(stream uint64, host string) *following {
	if f := r.hosts[host]; f != nil && f.stream == stream {
		return f
	}
	return nil
}

// UpdateHost takes in a control host's word in a term. What it says of another term's roster
// counts for nothing.
func (r *Roster) UpdateHost(stream uint64, host string, term uint64, news *schema.HostNews) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.present(stream, host)
	if f == nil {
		return
	}
	f.heard = r.cfg.Now()
	if f.silent {
		f.silent = false
		r.cfg.Log.Info("host state", "host", host, "silent", false)
	}
	f.told = Progress{Revision: news.GetRevision()}
	if known := PositionOf(news.GetKnown()); known.Term == term {
		f.told.Change = known.Change
	}
	f.behind = news.GetBehind()
	if f.lagging != news.GetLagging() {
		f.lagging = news.GetLagging()
		r.cfg.Log.Info("host state", "host", host, "silent", false, "lagging", f.lagging)
	}
	if news.GetLoadsTold() {
		r.count(f.loads, -1)
		r.count(news.GetLoads(), 1)
		f.loads = news.GetLoads()
	}
	if news.GetEntriesTold() {
		f.entries = news.GetEntries()
	}
	if len(f.entries) != f.count && f.heard.Sub(f.counted) >= entriesLogged {
		f.count, f.counted = len(f.entries), f.heard
		r.cfg.Log.Info("entries of host", "host", host, "count", f.count)
	}
}

// HostSilent reports whether a host's stream has been silent for too long: it is ended, so
// that a host which hears and is not heard does not take itself for one that is.
func (r *Roster) HostSilent(stream uint64, host string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.present(stream, host)
	return f == nil || f.silent
}

// HostLagging reports whether a host has said that it tells entries nothing.
func (r *Roster) HostLagging(stream uint64, host string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.present(stream, host)
	return f != nil && f.lagging
}

// HostDisconnected notes the end of a control host's stream.
func (r *Roster) HostDisconnected(stream uint64, host string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f := r.present(stream, host); f != nil && !f.silent {
		r.fallSilent(f, "its stream ended")
	}
}

// fallSilent leaves a host out; mu is held.
func (r *Roster) fallSilent(f *following, reason string) {
	f.silent = true
	// What its entries had at engines is not known to have ended, but nobody says so
	// either.
	r.count(f.loads, -1)
	f.loads = nil
	r.cfg.Log.Info("host state", "host", f.host.GetAddress(), "silent", true, "reason", reason, "entries", len(f.entries))
}

// SweepHosts leaves out control hosts that have fallen silent, and forgets those that
// have been so for long, with the entries that attended them.
func (r *Roster) SweepHosts() {
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.list()
	for address, f := range r.hosts {
		silent := r.cfg.Now().Sub(f.heard)
		if !f.silent && silent > hostSilence {
			r.fallSilent(f, "it says nothing")
		}
		if f.silent && silent > hostSilence+hostKeep {
			delete(r.hosts, address)
		}
	}
}

// UpdateSince returns what changed after a change number, as a word without a term and without
// what somebody asked for. All of it is of one moment: a list that changed between two
// looks would count as told and never be.
func (r *Roster) UpdateSince(after uint64) *schema.LeaderNews {
	r.mu.Lock()
	defer r.mu.Unlock()
	servers, change := r.since(after)
	news := &schema.LeaderNews{
		Servers: servers, Whole: after == 0, Settled: r.settledChange != 0, Confirm: r.awaited > 0,
		Known: Position{Change: change}.Message(),
	}
	if r.entriesChange > after {
		news.Entries = r.entries
	}
	if r.hostsChange > after {
		news.Hosts = r.hostsListed
	}
	return news
}

// list makes the lists of control hosts and of entries anew that are told, where they have
// changed. They are looked at a few times a second only: while all entries restart in turn,
// or move from host to host, a list of 300 would be told to each of them with every change,
// 17 KB each time. mu is held.
func (r *Roster) list() {
	if r.cfg.Now().Sub(r.began) < listAfter {
		return
	}
	if entries := r.entryList(); !proto.Equal(entries, r.entries) {
		r.entries, r.entriesChange = entries, r.touch()
	}
	if hosts := r.hostList(); !proto.Equal(hosts, r.hostsListed) {
		r.hostsListed, r.hostsChange = hosts, r.touch()
	}
}

// HasRequests reports whether any entry has requests for a model at an engine.
func (r *Roster) HasRequests(server, model string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[run{server, model}] > 0
}

// run names a model at an engine.
type run struct{ server, model string }

// count adds what a host's entries have at the engines, or takes it off.
func (r *Roster) count(loads []*schema.EngineLoad, by int) {
	for _, l := range loads {
		for _, model := range l.GetModels() {
			at := run{l.GetServer(), model}
			if r.runs[at] += by; r.runs[at] == 0 {
				delete(r.runs, at)
			}
		}
	}
}

// maxLoads bounds how many engines' loads are passed on in one word, the
// busiest: at 25 bytes each and three words a second, 5 KB/s an entry.
const maxLoads = 64

// Loads returns what all entries have at the engines, as of a moment ago.
func (r *Roster) Loads() *schema.EngineLoads {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := r.cfg.Now(); r.loads == nil || now.Sub(r.loadsAt) > loadsKeep {
		r.loads, r.loadsAt = r.sumLoads(), now
	}
	return r.loads
}

func (r *Roster) sumLoads() *schema.EngineLoads {
	sums := map[string]*schema.EngineLoad{}
	for _, f := range r.hosts {
		for _, l := range f.loads {
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

// EntryCount returns the number of entries that attend the control hosts.
func (r *Roster) EntryCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, f := range r.hosts {
		n += len(f.entries)
	}
	return n
}

// hostList is the control hosts that entries can attend; mu is held.
func (r *Roster) hostList() *schema.ControlHostList {
	list := &schema.ControlHostList{}
	for _, f := range r.hosts {
		if !f.silent && !f.lagging {
			list.Hosts = append(list.Hosts, f.host)
		}
	}
	if len(list.Hosts) > spareLeaderFrom {
		list.Hosts = slices.DeleteFunc(list.Hosts, func(h *schema.ControlHost) bool { return h.GetAddress() == r.cfg.Self })
	}
	slices.SortFunc(list.Hosts, func(a, b *schema.ControlHost) int { return cmp.Compare(a.GetAddress(), b.GetAddress()) })
	return list
}

// entryList is the entries that callers may be sent to; mu is held.
func (r *Roster) entryList() *schema.EntryList {
	list := &schema.EntryList{}
	for _, a := range r.attending() {
		if !a.GetStopping() {
			list.Entries = append(list.Entries, a.GetEntry())
		}
	}
	slices.SortFunc(list.Entries, func(a, b *schema.RosterEntry) int { return cmp.Compare(a.GetHost(), b.GetHost()) })
	return list
}

// attending returns every entry once: at the host that it came to last, if it is still
// believed to be at another as well. mu is held.
func (r *Roster) attending() map[string]*schema.AttendingEntry {
	out := map[string]*schema.AttendingEntry{}
	for _, f := range r.hosts {
		for _, a := range f.entries {
			host := a.GetEntry().GetHost()
			if other := out[host]; other == nil || a.GetStream() > other.GetStream() {
				out[host] = a
			}
		}
	}
	return out
}
