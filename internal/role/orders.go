package role

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"fennelyard/internal/incarnation"
	"fennelyard/internal/ledger"
	"fennelyard/internal/loading"
	"fennelyard/internal/schema"
)

// startOrders starts the driver, which decides on orders while this host leads,
// and the hand, which gives those of the engines that this host holds.
func (c *Control) startOrders(s *schema.JoinSettings) {
	log, host := c.cfg.Log.WithName("loading"), s.GetHost()
	c.hand = loading.NewSender(loading.SenderConfig{
		CatchUp: func(ctx context.Context) (uint64, error) { return c.group.CatchUp(ctx, loading.LeadershipProofMaxAge) },
		IsHolder: func(key string) bool {
			return c.holderOf(incarnation.ServerOf(key)).Host == c.self.GetPeerAddress()
		},
		SendOrder: func(ctx context.Context, address string, o loading.Order) (loading.Outcome, error) {
			return c.cfg.Engines.SendOrder(ctx, address, host, o)
		},
		Now: time.Now, Log: log,
	})
	c.driver = loading.NewDriver(loading.Config{
		Leadership: func() loading.Leadership {
			st := c.group.Status()
			return loading.Leadership{IsLeader: st.CommittedInTerm, Term: st.Term}
		},
		Holders:     loading.Holders{Get: c.holderOf, Servers: c.held, Hosts: c.voters, Record: c.recordHolders, SendOrder: c.giveThrough},
		FetchReport: c.cfg.Engines.FetchReport, Roster: c.roster, Pools: c.pools, KnownServers: c.knownServers,
		OrderLease: s.GetOrderLease().AsDuration(), LoadWindow: s.GetLoadWindow().AsDuration(),
		Now: time.Now, Log: log,
		ObserveOrder: func(o loading.Outcome, load, adapter bool) { c.cfg.Metrics.Order(o.String(), load, adapter) },
	})
}

// holderOf returns who gives a server its orders, whichever start of it is meant: an
// engine must not see two holders take turns because it started again in between.
func (c *Control) holderOf(server string) loading.Holder {
	var h *schema.OrderHolder
	c.group.Ledger().View(func(_ ledger.Status, r *ledger.Records) { h = r.OrderHolder(server) })
	return loading.Holder{Host: h.GetHost(), Settled: h.GetSettled()}
}

func (c *Control) held() []string {
	var out []string
	c.group.Ledger().View(func(_ ledger.Status, r *ledger.Records) {
		for _, h := range r.OrderHolders() {
			out = append(out, h.GetServer())
		}
	})
	return out
}

func (c *Control) voters() []string {
	var out []string
	for _, m := range c.group.Status().Membership.GetMembers() {
		if !m.GetLearner() {
			out = append(out, m.GetAddress())
		}
	}
	return out
}

func (c *Control) recordHolders(ctx context.Context, changes map[string]loading.HolderChange, forgotten []string) error {
	q := &schema.AssignOrderHolders{Forgotten: forgotten}
	for server, x := range changes {
		q.Changes = append(q.Changes, &schema.HolderChange{
			Holder: &schema.OrderHolder{Server: server, Host: x.To.Host, Settled: x.To.Settled}, From: x.From,
		})
	}
	return c.commit(ctx, &schema.Command{Body: &schema.Command_AssignOrderHolders{AssignOrderHolders: q}})
}

// giveThrough has an order given by its holder, this host or another.
func (c *Control) giveThrough(ctx context.Context, holder string, term uint64, address string, o loading.Order) (loading.Outcome, error) {
	if holder == c.self.GetPeerAddress() {
		return c.hand.Send(ctx, term, address, o)
	}
	client, err := c.orders.Client(holder)
	if err != nil {
		return loading.OutcomeUnknown, errors.Newf("reach order holder: %v: %w", err, loading.ErrNotSent)
	}
	reply, err := client.GiveOrder(ctx, &schema.GiveOrderRequest{
		Term: term, Address: address, Server: o.Server, Load: o.Load, Model: o.Model, Adapter: o.Adapter, Taken: o.OrdersTaken, Token: o.FencingToken,
	})
	switch {
	case err != nil:
		return loading.OutcomeUnknown, errors.Newf("ask order holder: %v: %w", err, loading.ErrNoHolderReply)
	case !reply.GetSent():
		return loading.OutcomeUnknown, errors.Newf("order holder: %s: %w", reply.GetError(), loading.ErrNotSent)
	case reply.GetError() != "":
		return loading.OutcomeUnknown, errors.Newf("order holder: %s", reply.GetError())
	}
	return loading.Outcome(reply.GetOutcome()), nil
}

// giveOrder answers the leader that asks this host to give an order.
func (c *Control) giveOrder(ctx context.Context, q *schema.GiveOrderRequest) (*schema.GiveOrderReply, error) {
	outcome, err := c.hand.Send(ctx, q.GetTerm(), q.GetAddress(), loading.Order{
		Server: q.GetServer(), Load: q.GetLoad(), Model: q.GetModel(), Adapter: q.GetAdapter(), OrdersTaken: q.GetTaken(), FencingToken: q.GetToken(),
	})
	reply := &schema.GiveOrderReply{Sent: !errors.Is(err, loading.ErrNotSent), Outcome: uint32(outcome)}
	if err != nil {
		reply.Error = err.Error()
	}
	return reply, nil
}
