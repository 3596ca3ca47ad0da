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

// schedules and firstSeed select the fault schedules of the simulation; the defaults
// give the same result on every run.
var (
	schedules = flag.Int("schedules", 150, "fault schedules to try")
	firstSeed = flag.Int64("first-seed", 1, "seed of the first schedule")
)

// cluster is a group of cores with a simulated network, simulated disks and simulated
// time. It checks the safety properties after every step.
type cluster struct {
	t        *testing.T
	seed     int64
	random   *rand.Rand
	nodes    map[uint64]*node
	ids      []uint64
	nextID   uint64
	inFlight []delayedMessage
	// cutLinks contains the pairs of sender and receiver whose messages are lost.
	cutLinks      map[[2]uint64]bool
	lossRate      float64
	duplicateRate float64
	maxDelay      int
	now           int

	// committed is the committed log of the group, by index.
	committed     map[uint64]string
	lastCommitted uint64
	// leaders contains the leader of each term.
	leaders map[uint64]uint64
	// acknowledged is the highest index that was acknowledged to any proposer.
	acknowledged uint64
	// acknowledgedByTerm is the same by the term of the acknowledging leader.
	acknowledgedByTerm map[uint64]uint64
	proposals          int
	minReadIndex       map[uint64]uint64
	readID             uint64
	stats              clusterStats
}

type clusterStats struct {
	commits, elections, crashes, snapshots, replaced, reads int
}

type node struct {
	id   uint64
	host string
	core *consensus.Core
	// saved is the synced content of the disk.
	saved consensus.Saved
	down  bool
	// frozen nodes neither tick nor receive; messages to them are queued.
	frozen  bool
	pending map[uint64]string
	applied uint64
}

type delayedMessage struct {
	at int
	m  *schema.ConsensusMessage
}

func newCluster(t *testing.T, seed int64, size int) *cluster {
	c := &cluster{
		t: t, seed: seed, random: rand.New(rand.NewSource(seed)),
		nodes: map[uint64]*node{}, cutLinks: map[[2]uint64]bool{}, maxDelay: 3,
		committed: map[uint64]string{}, leaders: map[uint64]uint64{}, minReadIndex: map[uint64]uint64{},
		acknowledgedByTerm: map[uint64]uint64{},
	}
	membership := &schema.Membership{Size: uint32(size)}
	for i := range size {
		membership.Members = append(membership.Members, &schema.Member{Id: uint64(i + 1), Host: fmt.Sprintf("host-%d", i+1)})
	}
	for _, m := range membership.GetMembers() {
		n := c.add(m.GetId(), m.GetHost())
		n.saved.Snapshot = &schema.SnapshotState{Index: consensus.FirstIndex, Term: 1, Membership: membership}
		n.applied = consensus.FirstIndex
		c.start(n)
	}
	c.lastCommitted = consensus.FirstIndex
	c.acknowledged = consensus.FirstIndex
	return c
}

func (c *cluster) fail(format string, args ...any) {
	c.t.Helper()
	c.t.Fatalf("seed %d, time %d: %s", c.seed, c.now, fmt.Sprintf(format, args...))
}

func (c *cluster) add(id uint64, host string) *node {
	n := &node{id: id, host: host, saved: consensus.Saved{HardState: &schema.HardState{}, Snapshot: &schema.SnapshotState{}}}
	c.nodes[id] = n
	c.ids = append(c.ids, id)
	c.nextID = max(c.nextID, id+1)
	return n
}

func (c *cluster) start(n *node) {
	n.down = false
	n.pending = map[uint64]string{}
	n.applied = n.saved.Snapshot.GetIndex()
	n.core = consensus.NewCore(consensus.CoreConfig{
		ID: n.id, Saved: cloneSaved(n.saved), Random: c.random.Intn, AppendBytes: 200, Inflight: 4,
	})
}

// cloneSaved copies the content of the disk, so that the process does not share
// memory with it.
func cloneSaved(s consensus.Saved) consensus.Saved {
	return consensus.Saved{
		HardState: proto.Clone(s.HardState).(*schema.HardState),
		Snapshot:  proto.Clone(s.Snapshot).(*schema.SnapshotState),
		Entries:   slices.Clone(s.Entries),
	}
}

func (c *cluster) runningNodes() []*node {
	var out []*node
	for _, id := range c.ids {
		if n := c.nodes[id]; !n.down && !n.frozen {
			out = append(out, n)
		}
	}
	return out
}

// step advances the time by one tick on all running nodes.
func (c *cluster) step() {
	c.now++
	for _, n := range c.runningNodes() {
		n.core.Tick()
		c.process(n, false)
	}
	c.deliver()
}

func (c *cluster) deliver() {
	due := c.inFlight
	c.inFlight = nil
	c.random.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, f := range due {
		n := c.nodes[f.m.GetTo()]
		if f.at > c.now || n != nil && n.frozen {
			c.inFlight = append(c.inFlight, f)
			continue
		}
		if n == nil || n.down || c.cutLinks[[2]uint64{f.m.GetFrom(), f.m.GetTo()}] {
			continue
		}
		n.core.Step(f.m)
		c.process(n, false)
	}
}

func (c *cluster) send(m *schema.ConsensusMessage) {
	copies := 1
	switch r := c.random.Float64(); {
	case r < c.lossRate:
		copies = 0
	case r < c.lossRate+c.duplicateRate:
		copies = 2
	}
	for range copies {
		c.inFlight = append(c.inFlight, delayedMessage{c.now + c.random.Intn(c.maxDelay), proto.Clone(m).(*schema.ConsensusMessage)})
	}
}

// process performs a node's ready work. With lost, the process crashes before the
// sync completes: nothing is stored, and nothing but appends is sent.
func (c *cluster) process(n *node, lost bool) {
	for n.core.HasReady() {
		r := n.core.Ready()
		for _, m := range r.Appends {
			c.send(m)
		}
		if lost {
			return
		}
		c.save(n, r)
		for _, m := range r.Messages {
			if m.GetKind() == schema.MessageKind_MESSAGE_KIND_SNAPSHOT {
				m.Snapshot = n.saved.Snapshot
				c.stats.snapshots++
			}
			c.send(m)
		}
		c.apply(n, r.Committed)
		for _, read := range r.Reads {
			c.checkRead(read)
		}
		n.core.Advance(r)
	}
	c.checkLeader(n)
}

func (c *cluster) save(n *node, r consensus.Ready) {
	if r.Snapshot != nil {
		n.saved.Snapshot = r.Snapshot
		n.saved.Entries = nil
		n.applied = r.Snapshot.GetIndex()
	}
	if len(r.Entries) > 0 {
		count := r.Entries[0].GetIndex() - n.saved.Snapshot.GetIndex() - 1
		n.saved.Entries = append(slices.Clone(n.saved.Entries[:count]), r.Entries...)
	}
	if r.HardState != nil {
		n.saved.HardState = r.HardState
	}
}

func (c *cluster) apply(n *node, entries []*schema.LogEntry) {
	for _, e := range entries {
		if e.GetIndex() != n.applied+1 {
			c.fail("node %d applied %d after %d", n.id, e.GetIndex(), n.applied)
		}
		n.applied = e.GetIndex()
		content := fmt.Sprintf("%d %d %s", e.GetTerm(), e.GetKind(), e.GetData())
		if old, ok := c.committed[e.GetIndex()]; ok && old != content {
			c.fail("index %d is %q on node %d and was %q", e.GetIndex(), content, n.id, old)
		}
		if _, ok := c.committed[e.GetIndex()]; !ok {
			c.stats.commits++
		}
		c.committed[e.GetIndex()] = content
		c.lastCommitted = max(c.lastCommitted, e.GetIndex())
		if own, ok := n.pending[e.GetIndex()]; ok && own == content {
			c.acknowledged = max(c.acknowledged, e.GetIndex())
			c.acknowledgedByTerm[n.core.Term()] = max(c.acknowledgedByTerm[n.core.Term()], e.GetIndex())
		}
	}
}

func (c *cluster) checkLeader(n *node) {
	if n.core.Role() != consensus.RoleLeader {
		return
	}
	old, ok := c.leaders[n.core.Term()]
	if ok && old != n.id {
		c.fail("term %d has leaders %d and %d", n.core.Term(), old, n.id)
	}
	if !ok {
		c.stats.elections++
		// A leader has every entry that was acknowledged in an earlier term. One
		// that receives votes for an old term late may miss newer entries.
		for term, index := range c.acknowledgedByTerm {
			if term < n.core.Term() && n.core.Last() < index {
				c.fail("leader %d of term %d ends at %d; %d was acknowledged in term %d",
					n.id, n.core.Term(), n.core.Last(), index, term)
			}
		}
	}
	c.leaders[n.core.Term()] = n.id
}

func (c *cluster) checkRead(r consensus.ReadState) {
	c.stats.reads++
	if r.Index < c.minReadIndex[r.ID] {
		c.fail("read %d saw index %d; %d was acknowledged before it", r.ID, r.Index, c.minReadIndex[r.ID])
	}
}

func (c *cluster) propose(n *node) {
	c.proposals++
	data := fmt.Sprintf("p%d", c.proposals)
	index, term, err := n.core.Propose([]byte(data))
	if err == nil {
		n.pending[index] = fmt.Sprintf("%d %d %s", term, schema.EntryKind_ENTRY_KIND_COMMAND, data)
	}
	c.process(n, false)
}

func (c *cluster) read(n *node) {
	c.readID++
	c.minReadIndex[c.readID] = c.acknowledged
	_ = n.core.Read(c.readID)
	c.process(n, false)
}

// crash stops a node; with lost, during a sync.
func (c *cluster) crash(n *node, lost bool) {
	if lost {
		n.core.Tick()
		c.process(n, true)
	}
	n.down = true
	n.frozen = false
	c.stats.crashes++
}

// compact stores a snapshot and compacts the log, as Member does.
func (c *cluster) compact(n *node) {
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
	// Two entries stay in memory.
	n.core.Compact(n.applied - min(n.applied, 2))
}

// clusterSilentTicks is the number of ticks without a reply after which a voter makes room for a newcomer.
const clusterSilentTicks = 40

// replace removes a node and its disk and starts a new node on the same host, or on another one.
func (c *cluster) replace(n *node) {
	n.down = true
	c.ids = slices.DeleteFunc(c.ids, func(id uint64) bool { return id == n.id })
	delete(c.nodes, n.id)
	host := n.host
	if c.random.Intn(2) == 0 {
		host = fmt.Sprint("host-", c.nextID)
	}
	c.start(c.add(c.nextID, host))
	c.stats.replaced++
}

// reconcileMembership lets leaders add replaced members, as Member does on its ticks.
func (c *cluster) reconcileMembership() {
	for _, n := range c.runningNodes() {
		if n.core.Role() != consensus.RoleLeader {
			continue
		}
		if next := n.core.WithSize(clusterSilentTicks); next != nil && n.core.ProposeMembership(next) == nil {
			c.process(n, false)
			continue
		}
		for _, id := range c.ids {
			other := c.nodes[id]
			next := n.core.WithJoining(&schema.Member{Id: other.id, Host: other.host}, clusterSilentTicks)
			if next != nil && n.core.ProposeMembership(next) == nil {
				c.process(n, false)
				break
			}
		}
	}
}

// heal ends all faults and runs the group for a number of ticks.
func (c *cluster) heal(ticks int) {
	c.cutLinks = map[[2]uint64]bool{}
	c.lossRate, c.duplicateRate, c.maxDelay = 0, 0, 1
	for _, id := range c.ids {
		n := c.nodes[id]
		n.frozen = false
		if n.down {
			c.start(n)
		}
	}
	for range ticks {
		c.step()
		c.reconcileMembership()
	}
}

func (c *cluster) leader() *node {
	var best *node
	for _, n := range c.runningNodes() {
		if n.core.Role() == consensus.RoleLeader && (best == nil || n.core.Term() > best.core.Term()) {
			best = n
		}
	}
	return best
}
