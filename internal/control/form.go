package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"fennelyard/internal/consensus"
	"fennelyard/internal/schema"
)

const (
	helloInterval = 250 * time.Millisecond
	// helloTimeout is the timeout for each host. A reply takes milliseconds, and a
	// host that is down must not delay the queries to other hosts for long.
	helloTimeout = 700 * time.Millisecond
	// rejoinInterval is the interval at which a member that is not a voter, or may no
	// longer be one, requests to join.
	rejoinInterval = time.Second
)

func (g *Group) hello(_ context.Context, q *schema.HelloRequest) (*schema.HelloReply, error) {
	m := g.currentMember()
	reply := &schema.HelloReply{Id: g.cfg.Storage.ID(), Formed: m != nil}
	if m == nil {
		return reply, nil
	}
	s := m.Status()
	for _, member := range s.Membership.GetMembers() {
		reply.MemberAddresses = append(reply.MemberAddresses, g.addressOf(member))
		if member.GetId() == s.Leader {
			reply.LeaderAddress = g.addressOf(member)
		}
	}
	// A control host that is not a voter in the current membership has a new disk.
	known := slices.ContainsFunc(s.Membership.GetMembers(), func(member *schema.Member) bool {
		return member.GetId() == q.GetMember().GetId() && !member.GetLearner()
	})
	if s.Role == consensus.RoleLeader && s.CommittedInTerm && !known && g.isConfigured(q.GetMember()) {
		m.Join(q.GetMember())
	}
	return reply, nil
}

// addressOf returns a member's peer address. The membership contains no address for
// hosts that are listed in the settings.
func (g *Group) addressOf(m *schema.Member) string {
	for _, h := range g.cfg.Hosts {
		if h.GetName() == m.GetHost() {
			return h.GetPeerAddress()
		}
	}
	return m.GetAddress()
}

// isConfigured reports whether the settings allow a host to be a control member.
// With seeds, every host with an address is allowed.
func (g *Group) isConfigured(m *schema.Member) bool {
	if g.cfg.Seeds != nil {
		return m.GetAddress() != ""
	}
	return slices.ContainsFunc(g.cfg.Hosts, func(h *schema.HostSettings) bool {
		return h.GetControl() && h.GetName() == m.GetHost() && h.GetPeerAddress() == m.GetAddress()
	})
}

func (g *Group) selfMember() *schema.Member {
	return &schema.Member{
		Id: g.cfg.Storage.ID(), Host: g.cfg.Self.GetName(), Address: g.cfg.Self.GetPeerAddress(),
	}
}

// waitFormed waits until the group is formed and starts the member. The first host
// by name bootstraps the group, and only after every control host has replied that
// it belongs to none: a host with a lost disk must not bootstrap a second group
// beside the one that still has the state. It returns false if the group is stopped or
// the member fails to start.
func (g *Group) waitFormed() bool {
	ticker := time.NewTicker(helloInterval)
	defer ticker.Stop()
	for {
		members, formed, all := g.queryAll()
		if formed || all && g.mayBootstrap() {
			if err := g.startFormed(members, formed); err != nil {
				g.mu.Lock()
				g.err = err
				g.mu.Unlock()
				return false
			}
			return true
		}
		select {
		case <-g.stop:
			return false
		case <-ticker.C:
		}
	}
}

func (g *Group) startFormed(members []*schema.Member, formed bool) error {
	if !formed {
		if err := g.cfg.Storage.Bootstrap(&schema.Membership{Members: members, Size: uint32(len(members))}); err != nil {
			return errors.Newf("bootstrap group: %w", err)
		}
		g.cfg.Log.Info("control group formed", "members", len(members))
	}
	return g.startMember()
}

func (g *Group) mayBootstrap() bool {
	if g.cfg.Seeds != nil && (!g.cfg.Bootstrap || !slices.Contains(g.cfg.Seeds(), g.cfg.Self.GetPeerAddress())) {
		return false
	}
	for _, h := range g.candidates() {
		if h.GetControl() && h.GetName() < g.cfg.Self.GetName() {
			return false
		}
	}
	return true
}

// candidates returns the hosts that may be members: those in the settings, or the
// seeds, the current members and the addresses learned from replies. Seeds become
// stale as hosts are replaced; then only the known members remain.
func (g *Group) candidates() []*schema.HostSettings {
	if g.cfg.Seeds == nil {
		return slices.Clone(g.cfg.Hosts)
	}
	addresses := slices.Concat(g.cfg.Seeds(), g.joinState.knownAddresses)
	if m := g.currentMember(); m != nil {
		for _, member := range m.Status().Membership.GetMembers() {
			addresses = append(addresses, member.GetAddress())
		}
	}
	slices.Sort(addresses)
	var out []*schema.HostSettings
	for _, a := range slices.Compact(addresses) {
		out = append(out, &schema.HostSettings{Name: a, PeerAddress: a, Control: true})
	}
	return out
}

// queryAll sends a join request to every candidate, and then to the members listed in
// their replies. It returns the candidates that replied, whether any of them is in a
// group, and whether all of them replied.
//
// A host with an empty disk knows only the seeds, and only the leader can add it. If
// replies did not list the members, the host could not join while the leader is not a
// seed. The group would tolerate one failure less, and after a few such losses it
// would have no quorum.
func (g *Group) queryAll() (members []*schema.Member, formed, all bool) {
	members = append(members, g.selfMember())
	all = true
	g.joinState.begin()
	defer g.joinState.end(g.cfg.Log)
	for _, result := range g.queryEach(g.otherCandidates()) {
		if result.err != nil {
			all = false
			continue
		}
		formed = formed || result.reply.GetFormed()
		members = append(members, &schema.Member{
			Id: result.reply.GetId(), Host: result.host.GetName(), Address: result.host.GetPeerAddress(),
		})
	}
	if g.cfg.Seeds != nil {
		g.queryEach(slices.DeleteFunc(g.otherCandidates(), func(h *schema.HostSettings) bool { return g.joinState.hasQueried(h) }))
	}
	return members, formed, all
}

// otherCandidates returns the candidates without this host.
func (g *Group) otherCandidates() []*schema.HostSettings {
	return slices.DeleteFunc(g.candidates(), func(h *schema.HostSettings) bool {
		return !h.GetControl() || h.GetName() == g.cfg.Self.GetName()
	})
}

// helloResult is a host's reply to a join request, or the error.
type helloResult struct {
	host  *schema.HostSettings
	reply *schema.HelloReply
	err   error
}

// queryEach sends join requests to hosts in parallel. A query to a host that is down
// takes helloTimeout, and a host that lost its disk has to become a voter again
// within a few seconds.
func (g *Group) queryEach(hosts []*schema.HostSettings) []helloResult {
	out := make([]helloResult, len(hosts))
	var wg sync.WaitGroup
	for i, h := range hosts {
		wg.Go(func() {
			reply, err := g.sendHello(h)
			out[i] = helloResult{h, reply, err}
		})
	}
	wg.Wait()
	for _, result := range out {
		g.joinState.record(result)
	}
	return out
}

func (g *Group) sendHello(h *schema.HostSettings) (*schema.HelloReply, error) {
	client, err := g.cfg.Dialer.Client(h.GetPeerAddress())
	if err != nil {
		return nil, errors.Newf("dial %s: %w", h.GetName(), err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), helloTimeout)
	defer cancel()
	reply, err := client.Hello(ctx, &schema.HelloRequest{Group: g.cfg.Group, Member: g.selfMember()})
	if err != nil {
		return nil, errors.Newf("join request to %s: %w", h.GetName(), err)
	}
	return reply, nil
}

// rejoin repeats the join requests while this member is not a voter, or knows no leader:
// the others may have removed it while it was away, and it has the membership of before.
func (g *Group) rejoin(m *consensus.Member) {
	ticker := time.NewTicker(rejoinInterval)
	defer ticker.Stop()
	for {
		select {
		case <-g.stop:
			return
		case <-m.Done():
			return
		case <-ticker.C:
		}
		s := m.Status()
		voter := slices.ContainsFunc(s.Membership.GetMembers(), func(member *schema.Member) bool {
			return member.GetId() == s.ID && !member.GetLearner()
		})
		if !voter || s.Leader == 0 {
			g.queryAll()
		}
	}
}
