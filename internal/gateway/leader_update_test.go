package gateway_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"fennelyard/internal/schema"
)

// FuzzLeaderNews takes a leader's words in as they may come from another version of the
// program, or broken: none ends the entry.
func FuzzLeaderNews(f *testing.F) {
	add := func(n *schema.LeaderNews) {
		data, err := proto.Marshal(n)
		require.NoError(f, err)
		f.Add(data)
	}
	add(&schema.LeaderNews{Sequence: 1, Confirm: true, Changes: encoded(configuration(3, routes()...))})
	add(&schema.LeaderNews{
		Servers: []*schema.RosterServer{{Id: "i@1", Pool: "p", Address: "a:1", Models: []*schema.HeldModel{{Name: "m"}}}, {Id: "i"}},
		Loads:   &schema.EngineLoads{Loads: []*schema.EngineLoad{{Server: "i@1", Running: 3}}}, Settled: true,
	})
	f.Fuzz(func(t *testing.T, in []byte) {
		news := &schema.LeaderNews{}
		if proto.Unmarshal(in, news) != nil {
			return
		}
		g := attending(t)
		defer g.Close()
		// A word that can't be read ends the stream, and a new one begins.
		_ = g.Take(news)
		g.State()
	})
}
