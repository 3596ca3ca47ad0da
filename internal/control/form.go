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
	helloEvery = 250 * time.Millisecond
	// helloWait is per host: a host that is down must not keep a new one from
	// asking the next for long, and an answer takes milliseconds.
	helloWait = 700 * time.Millisecond
	// rejoinEvery is how often a member outside the voters asks to be taken in.
	rejoinEvery = time.Second
)

func (g *Group) hello(_ context.Context, q *schema.HelloRequest) (*schema.HelloReply, error) {
	m := g.current()
	reply := &schema.HelloReply{Id: g.cfg.Storage.ID(), Formed: m != nil}
	if m == nil {
		return reply, nil
	}
	s := m.Status()
	for _, x := range s.Membership.GetMembers() {
		reply.MemberAddresses = append(reply.MemberAddresses, g.addressOf(x))
		if x.GetId() == s.Leader {
			reply.LeaderAddress = g.addressOf(x)
		}
	}
	// A voter outside the membership in force is a host whose disk was replaced.
	known := slices.ContainsFunc(s.Membership.GetMembers(), func(x *schema.Member) bool {
		return x.GetId() == q.GetMember().GetId() && !x.GetLearner()
	})
	if s.Role == consensus.RoleLeader && s.CommittedInTerm && !known && g.configured(q.GetMember()) {
		m.Join(q.GetMember())
	}
	return reply, nil
}

// addressOf returns a member's peer address; hosts that the settings name carry none in
// the membership.
func (g *Group) addressOf(m *schema.Member) string {
	for _, h := range g.cfg.Hosts {
		if h.GetName() == m.GetHost() {
			return h.GetPeerAddress()
		}
	}
	return m.GetAddress()
}

// configured keeps a host that is not a control member by the settings out.
func (g *Group) configured(m *schema.Member) bool {
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

// form waits until the group is formed and starts the member. The first host by
// name forms the group, and only after every control host has said that it
// belongs to none: a host with a lost disk must not found a second group beside
// the one that remembers. It returns false when the group is stopped before.
func (g *Group) form() bool {
	ticker := time.NewTicker(helloEvery)
	defer ticker.Stop()
	for {
		members, formed, all := g.askAll()
		if formed || all && g.isFounder() {
			if err := g.begin(members, formed); err != nil {
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

func (g *Group) begin(members []*schema.Member, formed bool) error {
	if !formed {
		if err := g.cfg.Storage.Bootstrap(&schema.Membership{Members: members}); err != nil {
			return errors.Newf("form group: %w", err)
		}
		g.cfg.Log.Info("control group formed", "members", len(members))
	}
	return g.start()
}

func (g *Group) isFounder() bool {
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

// candidates returns the hosts that may be members: by the settings, or the
// seeds, the members, and the hosts that others named. Seeds go stale as hosts are
// replaced; members met are what is left then.
func (g *Group) candidates() []*schema.HostSettings {
	if g.cfg.Seeds == nil {
		return slices.Clone(g.cfg.Hosts)
	}
	addresses := slices.Concat(g.cfg.Seeds(), g.asking.named)
	if m := g.current(); m != nil {
		for _, x := range m.Status().Membership.GetMembers() {
			addresses = append(addresses, x.GetAddress())
		}
	}
	slices.Sort(addresses)
	var out []*schema.HostSettings
	for _, a := range slices.Compact(addresses) {
		out = append(out, &schema.HostSettings{Name: a, PeerAddress: a, Control: true})
	}
	return out
}

// askAll asks every candidate, and then the members that they name, to take this host in.
// It returns the candidates that answered, whether any of them is in a group, and whether
// all of them answered.
//
// A host with an empty disk knows the seeds only, and a leader alone takes it in. Were
// the others not named, the host would stay out for as long as a host leads that is no
// seed: the group bears one loss less, and after a few such losses no quorum is left.
func (g *Group) askAll() (members []*schema.Member, formed, all bool) {
	members = append(members, g.selfMember())
	all = true
	g.asking.begin()
	defer g.asking.end(g.cfg.Log)
	for _, x := range g.askEach(g.others()) {
		if x.err != nil {
			all = false
			continue
		}
		formed = formed || x.reply.GetFormed()
		members = append(members, &schema.Member{
			Id: x.reply.GetId(), Host: x.host.GetName(), Address: x.host.GetPeerAddress(),
		})
	}
	if g.cfg.Seeds != nil {
		g.askEach(slices.DeleteFunc(g.others(), func(h *schema.HostSettings) bool { return g.asking.hasAsked(h) }))
	}
	return members, formed, all
}

// others returns the candidates but this host.
func (g *Group) others() []*schema.HostSettings {
	return slices.DeleteFunc(g.candidates(), func(h *schema.HostSettings) bool {
		return !h.GetControl() || h.GetName() == g.cfg.Self.GetName()
	})
}

// helloAnswer is what a host said, or why it said nothing.
type helloAnswer struct {
	host  *schema.HostSettings
	reply *schema.HelloReply
	err   error
}

// askEach asks hosts at the same time: each that is down keeps its answer for helloWait,
// and a host whose disk was lost has a few seconds to be a voter again.
func (g *Group) askEach(hosts []*schema.HostSettings) []helloAnswer {
	out := make([]helloAnswer, len(hosts))
	var wg sync.WaitGroup
	for i, h := range hosts {
		wg.Go(func() {
			reply, err := g.ask(h)
			out[i] = helloAnswer{h, reply, err}
		})
	}
	wg.Wait()
	for _, x := range out {
		g.asking.note(x)
	}
	return out
}

func (g *Group) ask(h *schema.HostSettings) (*schema.HelloReply, error) {
	client, err := g.cfg.Dialer.Client(h.GetPeerAddress())
	if err != nil {
		return nil, errors.Newf("ask %s: %w", h.GetName(), err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), helloWait)
	defer cancel()
	reply, err := client.Hello(ctx, &schema.HelloRequest{Group: g.cfg.Group, Member: g.selfMember()})
	if err != nil {
		return nil, errors.Newf("ask %s: %w", h.GetName(), err)
	}
	return reply, nil
}

// rejoin asks to be taken in for as long as this member is no voter.
func (g *Group) rejoin(m *consensus.Member) {
	ticker := time.NewTicker(rejoinEvery)
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
		voter := slices.ContainsFunc(s.Membership.GetMembers(), func(x *schema.Member) bool {
			return x.GetId() == s.ID && !x.GetLearner()
		})
		if !voter {
			g.askAll()
		}
	}
}
