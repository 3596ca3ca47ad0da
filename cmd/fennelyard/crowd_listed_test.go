package main

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/demo"
	"fennelyard/internal/operator"
)

// newListedCrowdCase starts a listed host and an application server.
func newListedCrowdCase(t *testing.T) *cluster {
	metrics, err := demo.FreeAddresses("127.0.3.1", 1)
	require.NoError(t, err)
	layout, err := demo.NewLayout(1, 1, t.TempDir(), fmt.Sprintf("metrics-address: %s\nmemory-mb: %d\n", metrics[0], crowdMemoryMB))
	require.NoError(t, err)
	clus := &cluster{t: t, layout: layout, processes: map[string]*process{}, maxLogBytes: crowdLogBytes}
	t.Cleanup(clus.close)
	host := layout.Hosts()[0]
	file := filepath.Join(t.TempDir(), host.Name+".yaml")
	require.NoError(t, os.WriteFile(file, []byte(layout.YAML(host.Name)), 0o600))
	clus.startCommand(host.Name, limitedCommand(t, "serve", "--settings", file))
	clus.operatorClient = operator.NewClient(host.Operator)
	clus.startApplication("booking-1")
	clus.awaitServers(1)
	clus.configure(1)
	return clus
}

// A crowd at one port of a listed host takes the memory or the descriptors of the process.
func TestCrowdsAtListedHosts(t *testing.T) {
	for _, p := range []struct {
		name    string
		address func(h demo.HostLayout) string
		path    string
		crowds  []string
	}{
		{"callers", func(h demo.HostLayout) string { return h.Caller }, "/services/" + testService + "/x", []string{"many fields", "one request, then nothing", "a long field without end"}},
		{"operators", func(h demo.HostLayout) string { return h.Operator }, "/v1/intents", []string{"many fields without end", "a long body without end", "no bytes"}},
		{"backend servers", func(h demo.HostLayout) string { return h.Backend }, "/v1/announcements", []string{"many fields", "a long body without end", "half a head"}},
	} {
		for _, name := range p.crowds {
			t.Run(p.name+"/"+name, func(t *testing.T) {
				clus := newListedCrowdCase(t)
				host := clus.layout.Hosts()[0]
				n := 0
				booked := func() bool {
					n++
					_, err := clus.requestBooking(t.Context(), clus.client(), fmt.Sprint("ride-", n))
					return err == nil
				}
				play(t, crowds(p.path)[name], p.address(host), clus.processes[host.Name], booked)
			})
		}
	}
	for _, name := range []string{"no calls", "messages without end", "messages that are not read"} {
		t.Run("hosts/"+name, func(t *testing.T) {
			clus := newListedCrowdCase(t)
			host := clus.layout.Hosts()[0]
			play(t, grpcCrowds()[name], host.Peer, clus.processes[host.Name], func() bool { return clus.status() != nil })
		})
	}
}
