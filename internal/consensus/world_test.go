package consensus_test

import (
	"flag"
	"fmt"
	"math/rand"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"

	"fennelyard/internal/consensus"
	"fennelyard/internal/schema"
)

// schedules and firstSeed widen the campaign; the defaults give the same verdict
// on every run.
var (
	schedules = flag.Int("schedules", 150, "fault schedules to try")
	firstSeed = flag.Int64("first-seed", 1, "seed of the first schedule")
)

// world is a group of cores with a simulated network, simulated disks and
// simulated time. After every step it checks what must always hold.
type world struct {
	t       *testing.T
	seed    int64
	random  *rand.Rand
	nodes   map[uint64]*node
	ids     []uint64
	nextID  uint64
	flights []flight
	// blocked holds directions in which messages are lost.
	blocked map[[2]uint64]bool
	loss    float64
	twice   float64
	slow    int
	now     int

	// committed is the one true log, by index.
	committed map[uint64]string
	highest   uint64
	// leaders holds the one leader of each term.
	leaders map[uint64]uint64
	// acked is the highest index that any proposer was told of.
	acked uint64
	// ackedIn is the same by the term of the leader that answered.
	ackedIn   map[uint64]uint64
	proposals int
	reads     map[uint64]uint64
	readID    uint64
	stats     worldStats
}

type worldStats struct {
	commits, elections, crashes, snapshots, replaced, reads int
}

type node struct {
	id   uint64
	host string
	core *consensus.Core
	// saved is the synced content of the disk.
	saved consensus.Saved
	down  bool
	// frozen nodes neither tick nor receive; what is sent to them waits.
	frozen  bool
	waiting map[uint64]string
	applied uint64
}

type flight struct {
	at int
	m  *schema.ConsensusMessage
}

func newWorld(t *testing.T, seed int64, size int) *world {
	w := &world{
		t: t, seed: seed, random: rand.New(rand.NewSource(seed)),
		nodes: map[uint64]*node{}, blocked: map[[2]uint64]bool{}, slow: 3,
		committed: map[uint64]string{}, leaders: map[uint64]uint64{}, reads: map[uint64]uint64{},
		ackedIn: map[uint64]uint64{},
	}
	first := &schema.Membership{}
	for i := range size {
		first.Members = append(first.Members, &schema.Member{Id: uint64(i + 1), Host: fmt.Sprintf("host-%d", i+1)})
	}
	for _, m := range first.GetMembers() {
		n := w.add(m.GetId(), m.GetHost())
		n.saved.Snapshot = &schema.SnapshotState{Index: consensus.FirstIndex, Term: 1, Membership: first}
		n.applied = consensus.FirstIndex
		w.start(n)
	}
	w.highest = consensus.FirstIndex
	w.acked = consensus.FirstIndex
	return w
}

func (w *world) fail(format string, args ...any) {
	w.t.Helper()
	w.t.Fatalf("seed %d, time %d: %s", w.seed, w.now, fmt.Sprintf(format, args...))
}

func (w *world) add(id uint64, host string) *node {
	n := &node{id: id, host: host, saved: consensus.Saved{HardState: &schema.HardState{}, Snapshot: &schema.SnapshotState{}}}
	w.nodes[id] = n
	w.ids = append(w.ids, id)
	w.nextID = max(w.nextID, id+1)
	return n
}

func (w *world) start(n *node) {
	n.down = false
	n.waiting = map[uint64]string{}
	n.applied = n.saved.Snapshot.GetIndex()
	n.core = consensus.NewCore(consensus.CoreConfig{
		ID: n.id, Saved: cloneSaved(n.saved), Random: w.random.Intn, AppendBytes: 200, Inflight: 4,
	})
}

// cloneSaved keeps the disk apart from the memory of the process.
func cloneSaved(s consensus.Saved) consensus.Saved {
	return consensus.Saved{
		HardState: proto.Clone(s.HardState).(*schema.HardState),
		Snapshot:  proto.Clone(s.Snapshot).(*schema.SnapshotState),
		Entries:   slices.Clone(s.Entries),
	}
}

func (w *world) live() []*node {
	var out []*node
	for _, id := range w.ids {
		if n := w.nodes[id]; !n.down && !n.frozen {
			out = append(out, n)
		}
	}
	return out
}

// step lets a tick of time pass everywhere.
func (w *world) step() {
	w.now++
	for _, n := range w.live() {
		n.core.Tick()
		w.process(n, false)
	}
	w.deliver()
}

func (w *world) deliver() {
	due := w.flights
	w.flights = nil
	w.random.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, f := range due {
		n := w.nodes[f.m.GetTo()]
		if f.at > w.now || n != nil && n.frozen {
			w.flights = append(w.flights, f)
			continue
		}
		if n == nil || n.down || w.blocked[[2]uint64{f.m.GetFrom(), f.m.GetTo()}] {
			continue
		}
		n.core.Step(f.m)
		w.process(n, false)
	}
}

func (w *world) send(m *schema.ConsensusMessage) {
	copies := 1
	switch r := w.random.Float64(); {
	case r < w.loss:
		copies = 0
	case r < w.loss+w.twice:
		copies = 2
	}
	for range copies {
		w.flights = append(w.flights, flight{w.now + w.random.Intn(w.slow), proto.Clone(m).(*schema.ConsensusMessage)})
	}
}

// process does a node's ready work. With lost, the process dies before the sync
// came back: nothing of it is on the disk and nothing was sent.
func (w *world) process(n *node, lost bool) {
	for n.core.HasReady() {
		r := n.core.Ready()
		if lost {
			return
		}
		w.save(n, r)
		for _, m := range r.Messages {
			if m.GetKind() == schema.MessageKind_MESSAGE_KIND_SNAPSHOT {
				m.Snapshot = n.saved.Snapshot
				w.stats.snapshots++
			}
			w.send(m)
		}
		w.apply(n, r.Committed)
		for _, read := range r.Reads {
			w.checkRead(read)
		}
		n.core.Advance(r)
	}
	w.checkLeader(n)
}

func (w *world) save(n *node, r consensus.Ready) {
	if r.Snapshot != nil {
		n.saved.Snapshot = r.Snapshot
		n.saved.Entries = nil
		n.applied = r.Snapshot.GetIndex()
	}
	if len(r.Entries) > 0 {
		keep := r.Entries[0].GetIndex() - n.saved.Snapshot.GetIndex() - 1
		n.saved.Entries = append(slices.Clone(n.saved.Entries[:keep]), r.Entries...)
	}
	if r.HardState != nil {
		n.saved.HardState = r.HardState
	}
}

func (w *world) apply(n *node, entries []*schema.LogEntry) {
	for _, e := range entries {
		if e.GetIndex() != n.applied+1 {
			w.fail("node %d applied %d after %d", n.id, e.GetIndex(), n.applied)
		}
		n.applied = e.GetIndex()
		what := fmt.Sprintf("%d %d %s", e.GetTerm(), e.GetKind(), e.GetData())
		if old, ok := w.committed[e.GetIndex()]; ok && old != what {
			w.fail("index %d is %q on node %d and was %q", e.GetIndex(), what, n.id, old)
		}
		if _, ok := w.committed[e.GetIndex()]; !ok {
			w.stats.commits++
		}
		w.committed[e.GetIndex()] = what
		w.highest = max(w.highest, e.GetIndex())
		if own, ok := n.waiting[e.GetIndex()]; ok && own == what {
			w.acked = max(w.acked, e.GetIndex())
			w.ackedIn[n.core.Term()] = max(w.ackedIn[n.core.Term()], e.GetIndex())
		}
	}
}

func (w *world) checkLeader(n *node) {
	if n.core.Role() != consensus.RoleLeader {
		return
	}
	old, ok := w.leaders[n.core.Term()]
	if ok && old != n.id {
		w.fail("term %d has leaders %d and %d", n.core.Term(), old, n.id)
	}
	if !ok {
		w.stats.elections++
		// A leader lacks nothing that was acknowledged in an earlier term. One
		// that learns late of votes for an old term may lack what is newer.
		for term, acked := range w.ackedIn {
			if term < n.core.Term() && n.core.Last() < acked {
				w.fail("leader %d of term %d ends at %d; %d was acknowledged in term %d",
					n.id, n.core.Term(), n.core.Last(), acked, term)
			}
		}
	}
	w.leaders[n.core.Term()] = n.id
}

func (w *world) checkRead(r consensus.ReadState) {
	w.stats.reads++
	if r.Index < w.reads[r.ID] {
		w.fail("read %d saw index %d; %d was acknowledged before it", r.ID, r.Index, w.reads[r.ID])
	}
}

func (w *world) propose(n *node) {
	w.proposals++
	data := fmt.Sprintf("p%d", w.proposals)
	index, term, err := n.core.Propose([]byte(data))
	if err == nil {
		n.waiting[index] = fmt.Sprintf("%d %d %s", term, schema.EntryKind_ENTRY_KIND_COMMAND, data)
	}
	w.process(n, false)
}

func (w *world) read(n *node) {
	w.readID++
	w.reads[w.readID] = w.acked
	_ = n.core.Read(w.readID)
	w.process(n, false)
}

// crash ends a process; with lost, in the middle of a sync.
func (w *world) crash(n *node, lost bool) {
	if lost {
		n.core.Tick()
		w.process(n, true)
	}
	n.down = true
	n.frozen = false
	w.stats.crashes++
}

// compact takes a snapshot as a member does.
func (w *world) compact(n *node) {
	if n.applied <= n.saved.Snapshot.GetIndex() {
		return
	}
	at := n.applied - n.saved.Snapshot.GetIndex()
	if at > uint64(len(n.saved.Entries)) {
		return
	}
	s := &schema.SnapshotState{
		Index: n.applied, Term: n.saved.Entries[at-1].GetTerm(), Membership: n.core.MembershipAt(n.applied),
	}
	n.saved.Entries = slices.Clone(n.saved.Entries[at:])
	n.saved.Snapshot = s
	// A few entries stay in memory.
	n.core.Compact(n.applied - min(n.applied, 2))
}

// replace takes a host's disk away for good and gives it a new one.
func (w *world) replace(n *node) {
	n.down = true
	w.ids = slices.DeleteFunc(w.ids, func(id uint64) bool { return id == n.id })
	delete(w.nodes, n.id)
	w.start(w.add(w.nextID, n.host))
	w.stats.replaced++
}

// tend lets leaders take in replaced members, as Member does on its ticks.
func (w *world) tend() {
	for _, n := range w.live() {
		if n.core.Role() != consensus.RoleLeader {
			continue
		}
		for _, id := range w.ids {
			x := w.nodes[id]
			next := consensus.NextMembershipChange(n.core.Membership(), &schema.Member{Id: x.id, Host: x.host}, n.core)
			if next != nil && n.core.ProposeMembership(next) == nil {
				w.process(n, false)
				break
			}
		}
	}
}

// heal ends every fault and lets the group settle.
func (w *world) heal(ticks int) {
	w.blocked = map[[2]uint64]bool{}
	w.loss, w.twice, w.slow = 0, 0, 1
	for _, id := range w.ids {
		n := w.nodes[id]
		n.frozen = false
		if n.down {
			w.start(n)
		}
	}
	for range ticks {
		w.step()
		w.tend()
	}
}

func (w *world) leader() *node {
	var best *node
	for _, n := range w.live() {
		if n.core.Role() == consensus.RoleLeader && (best == nil || n.core.Term() > best.core.Term()) {
			best = n
		}
	}
	return best
}
