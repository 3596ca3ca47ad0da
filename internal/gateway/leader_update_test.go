package gateway_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"fennelyard/internal/schema"
)

// FuzzLeaderNews applies updates of the leader as another version of the program may send them,
// or corrupt ones: none may crash the entry.
func FuzzLeaderNews(f *testing.F) {
	add := func(n *schema.LeaderNews) {
		data, err := proto.Marshal(n)
		require.NoError(f, err)
		f.Add(data)
	}
	add(&schema.LeaderNews{Sequence: 1, Confirm: true, Changes: encodeChanges(configuration(3, routes()...))})
	add(&schema.LeaderNews{
		Servers: []*schema.RosterServer{{Id: "i@1", Pool: "p", Address: "a:1", Models: []*schema.HeldModel{{Name: "m"}}}, {Id: "i"}},
		Loads:   &schema.EngineLoads{Loads: []*schema.EngineLoad{{Server: "i@1", Running: 3}}}, Settled: true,
	})
	f.Fuzz(func(t *testing.T, in []byte) {
		update := &schema.LeaderNews{}
		if proto.Unmarshal(in, update) != nil {
			return
		}
		g := newSubscribingGateway(t)
		defer g.Close()
		// An update that cannot be decoded ends the stream, and a new one starts.
		_ = g.ApplyUpdate(update)
		g.State()
	})
}
