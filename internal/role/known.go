package role

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"fennelyard/internal/asynclog"
	"fennelyard/internal/ledger"
	"fennelyard/internal/schema"
)

// rememberEvery is how often the leader records which backend servers have come and
// gone. A change that is not recorded when the leader is lost is heard by the next
// one from the server itself; at the largest deployment in use 115 servers are one
// record of 10 KB.
const rememberEvery = time.Second

// remember records which backend servers have come and gone. Until a new leader has
// heard all, it would forget those that it has not.
func (c *Control) remember() {
	known := c.knownServers()
	if len(known) > 0 && !c.roster.Settled() {
		return
	}
	q := c.serverChanges(known)
	if len(q.GetServers())+len(q.GetForgotten()) == 0 {
		return
	}
	err := c.commit(context.Background(), &schema.Command{Body: &schema.Command_RememberServers{RememberServers: q}})
	c.cfg.Log.Info("servers recorded", "come", len(q.GetServers()), "gone", len(q.GetForgotten()), "error", asynclog.ErrorText(err))
}

func (c *Control) knownServers() []*schema.KnownServer {
	var out []*schema.KnownServer
	c.group.Ledger().View(func(_ ledger.Status, r *ledger.Records) { out = r.KnownServers() })
	return out
}

// serverChanges is the difference between the servers that take new work and those
// that are recorded.
func (c *Control) serverChanges(known []*schema.KnownServer) *schema.RememberServers {
	q := &schema.RememberServers{}
	present := c.roster.ReadyServers()
	for _, k := range known {
		switch now := present[k.GetId()]; {
		case now == nil:
			q.Forgotten = append(q.Forgotten, k.GetId())
		case proto.Equal(now, k):
			delete(present, k.GetId())
		}
	}
	for _, k := range present {
		q.Servers = append(q.Servers, k)
	}
	return q
}
