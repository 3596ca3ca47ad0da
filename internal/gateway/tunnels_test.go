package gateway_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/schema"
)

// Hosts that reach no server are asked last, and a few of a data centre do not carry all of its requests. If
// nobody reaches any server, asking nobody would hide that the servers have ended.
func TestTunnelHosts(t *testing.T) {
	entry := func(host, dataCentre string, lost bool) *schema.RosterEntry {
		return &schema.RosterEntry{Host: host, DataCentre: dataCentre, TunnelAddress: host + ":1", PathLost: lost}
	}
	self := &schema.RosterEntry{Host: "e", TunnelAddress: "e:1"}
	for name, test := range map[string]struct {
		list              []*schema.RosterEntry
		preferred, others []string
	}{
		"all reach the servers": {
			[]*schema.RosterEntry{self, entry("a", "", false), entry("b", "far", false)}, []string{"a:1"}, []string{"b:1"},
		},
		"one does not": {
			[]*schema.RosterEntry{self, entry("a", "", true), entry("c", "", false), entry("b", "far", false)}, nil, []string{"c:1", "b:1"},
		},
		"the data centre does not": {
			[]*schema.RosterEntry{self, entry("a", "", true), entry("b", "far", false)}, nil, []string{"b:1"},
		},
		"nobody does": {
			[]*schema.RosterEntry{self, entry("a", "", true), entry("b", "far", true)}, nil, []string{"a:1", "b:1"},
		},
		"no other entry": {[]*schema.RosterEntry{self}, nil, nil},
	} {
		t.Run(name, func(t *testing.T) {
			g := newSubscribingGateway(t)
			defer g.Close()
			g.SetEntries(test.list)
			preferred, others := g.TunnelHosts()
			require.Equal(t, test.preferred, preferred)
			require.Equal(t, test.others, others)
		})
	}
}
