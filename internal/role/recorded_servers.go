package role

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"fennelyard/internal/asynclog"
	"fennelyard/internal/ledger"
	"fennelyard/internal/schema"
)

// recordInterval is how often the leader records changes of the backend servers and of the
// suspect requests. The next leader receives an unrecorded change of a server from the
// server itself; at the largest deployment in use 115 servers are one record of 10 KB.
const recordInterval = time.Second

// recordServers records which backend servers were added and removed. A new leader waits
// until it has received announcements of all servers; until then it would remove the
// missing ones.
func (c *Control) recordServers() {
	recorded := c.recordedServers()
	if len(recorded) > 0 && !c.roster.Settled() {
		return
	}
	changes := c.serverChanges(recorded)
	if len(changes.GetServers())+len(changes.GetForgotten()) == 0 {
		return
	}
	err := c.commit(context.Background(), &schema.Command{Body: &schema.Command_RememberServers{RememberServers: changes}})
	c.cfg.Log.Info("servers recorded", "come", len(changes.GetServers()), "gone", len(changes.GetForgotten()), "error", asynclog.ErrorText(err))
}

func (c *Control) recordedServers() []*schema.KnownServer {
	var out []*schema.KnownServer
	c.group.Ledger().View(func(_ ledger.Status, r *ledger.Records) { out = r.KnownServers() })
	return out
}

// serverChanges returns the difference between the servers that accept new work and the
// recorded ones.
func (c *Control) serverChanges(recorded []*schema.KnownServer) *schema.RememberServers {
	changes := &schema.RememberServers{}
	present := c.roster.ReadyServers()
	for _, k := range recorded {
		switch current := present[k.GetId()]; {
		case current == nil:
			changes.Forgotten = append(changes.Forgotten, k.GetId())
		case proto.Equal(current, k):
			delete(present, k.GetId())
		}
	}
	for _, k := range present {
		changes.Servers = append(changes.Servers, k)
	}
	return changes
}
