package role

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"fennelyard/internal/bound"
	"fennelyard/internal/cooldown"
	"fennelyard/internal/incarnation"
	"fennelyard/internal/ledger"
	"fennelyard/internal/loading"
	"fennelyard/internal/schema"
	"fennelyard/internal/worktime"
)

// startOrders starts the driver, which decides on orders while this host leads, and the
// sender, which sends orders to the engines whose order holder is this host.
func (c *Control) startOrders(s *schema.JoinSettings) {
	log, host := c.cfg.Log.WithName("loading"), s.GetHost()
	engines := loading.WithCooldowns(c.reportBounds(c.cfg.Engines), log)
	c.orderSender = loading.NewSender(loading.SenderConfig{
		CatchUp: func(ctx context.Context) (uint64, error) { return c.group.CatchUp(ctx, loading.MaxLeadershipProofAge) },
		IsHolder: func(key string) bool {
			return c.orderHolder(incarnation.ServerOf(key)).Host == c.self.GetPeerAddress()
		},
		SendOrder: func(ctx context.Context, address string, o loading.Order) (loading.Outcome, error) {
			return engines.SendOrder(ctx, address, host, o)
		},
		Now: time.Now, Log: log,
	})
	c.driver = loading.NewDriver(loading.Config{
		Leadership: func() loading.Leadership {
			status := c.group.Status()
			return loading.Leadership{IsLeader: status.CommittedInTerm, Term: status.Term}
		},
		Holders:     loading.Holders{Get: c.orderHolder, Servers: c.serversWithHolder, Hosts: c.voterAddresses, Record: c.recordHolders, SendOrder: c.sendThroughHolder},
		FetchReport: engines.FetchReport, Roster: c.roster, Pools: c.pools, KnownServers: c.recordedServers,
		OrderLease: s.GetOrderLease().AsDuration(), LoadWindow: s.GetLoadWindow().AsDuration(),
		Now: time.Now, Log: log,
		MeasureWork:  func() func() { return c.work.Start(worktime.KindDecision) },
		ObserveOrder: func(o loading.Outcome, load, adapter bool) { c.cfg.Metrics.Order(o.String(), load, adapter) },
	})
}

// reportBounds returns a client that logs and counts replies of engines that are over a bound.
func (c *Control) reportBounds(engines loading.Engines) loading.Engines {
	report := func(call, server, address string, err error) {
		if met := bound.Of(err); met != nil {
			c.cfg.Log.Info("reply over a bound", "server", server, "address", address, "call", call, "bound", met.Kind.String(), "limit", met.Limit)
			c.cfg.Metrics.BoundMet("engine", met.Kind.String())
		}
	}
	return loading.Engines{
		SendOrder: func(ctx context.Context, address, holder string, o loading.Order) (loading.Outcome, error) {
			outcome, err := engines.SendOrder(ctx, address, holder, o)
			report("order", o.Server, address, err)
			return outcome, err
		},
		FetchReport: func(ctx context.Context, address, server string) (loading.Report, error) {
			r, err := engines.FetchReport(ctx, address, server)
			report("report", server, address, err)
			return r, err
		},
	}
}

// orderHolder returns the order holder of a server. It ignores the server's incarnation: an
// engine that restarted must not receive orders from two holders in turn.
func (c *Control) orderHolder(server string) loading.Holder {
	var h *schema.OrderHolder
	c.group.Ledger().View(func(_ ledger.Status, r *ledger.Records) { h = r.OrderHolder(server) })
	return loading.Holder{Host: h.GetHost(), Settled: h.GetSettled()}
}

func (c *Control) serversWithHolder() []string {
	var out []string
	c.group.Ledger().View(func(_ ledger.Status, r *ledger.Records) {
		for _, h := range r.OrderHolders() {
			out = append(out, h.GetServer())
		}
	})
	return out
}

func (c *Control) voterAddresses() []string {
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
	for server, change := range changes {
		q.Changes = append(q.Changes, &schema.HolderChange{
			Holder: &schema.OrderHolder{Server: server, Host: change.To.Host, Settled: change.To.Settled}, From: change.From,
		})
	}
	return c.commit(ctx, &schema.Command{Body: &schema.Command_AssignOrderHolders{AssignOrderHolders: q}})
}

// sendThroughHolder sends an order through its holder, which is this host or another.
func (c *Control) sendThroughHolder(ctx context.Context, holder string, term uint64, address string, o loading.Order) (loading.Outcome, error) {
	if holder == c.self.GetPeerAddress() {
		return c.orderSender.Send(ctx, term, address, o)
	}
	client, err := c.orderDialer.Client(holder)
	if err != nil {
		return loading.OutcomeUnknown, errors.Newf("connect to order holder: %v: %w", err, loading.ErrNotSent)
	}
	reply, err := client.GiveOrder(ctx, &schema.GiveOrderRequest{
		Term: term, Address: address, Server: o.Server, Load: o.Load, Model: o.Model, Adapter: o.Adapter, Taken: o.OrdersTaken, Token: o.Token,
	})
	if err != nil {
		return loading.OutcomeUnknown, errors.Newf("call order holder: %v: %w", err, loading.ErrNoHolderReply)
	}
	if err := orderError(reply); err != nil {
		return loading.OutcomeUnknown, err
	}
	return loading.Outcome(reply.GetOutcome()), nil
}

// orderError returns the error of an order that its holder did not send or that has no outcome, nil
// for none.
func orderError(reply *schema.GiveOrderReply) error {
	if reply.GetSent() && reply.GetError() == "" {
		return nil
	}
	err := errors.Newf("order holder: %s", reply.GetError())
	if ms := reply.GetCooldownMs(); ms > 0 {
		err = errors.Newf("order holder: %s: %w", reply.GetError(), &cooldown.Error{Wait: time.Duration(ms) * time.Millisecond})
	}
	if !reply.GetSent() {
		err = errors.Join(err, loading.ErrNotSent)
	}
	return err
}

// handleOrder sends an order on behalf of the leader.
func (c *Control) handleOrder(ctx context.Context, q *schema.GiveOrderRequest) (*schema.GiveOrderReply, error) {
	outcome, err := c.orderSender.Send(ctx, q.GetTerm(), q.GetAddress(), loading.Order{
		Server: q.GetServer(), Load: q.GetLoad(), Model: q.GetModel(), Adapter: q.GetAdapter(), OrdersTaken: q.GetTaken(), Token: q.GetToken(),
	})
	reply := &schema.GiveOrderReply{Sent: !errors.Is(err, loading.ErrNotSent), Outcome: uint32(outcome)}
	if err != nil {
		reply.Error, reply.CooldownMs = err.Error(), uint64(cooldown.WaitOf(err).Milliseconds())
	}
	return reply, nil
}
