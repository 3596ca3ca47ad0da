// Package demo runs a complete deployment on loopback addresses and demonstrates its
// features step by step.
package demo

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// Layout describes a small deployment on loopback addresses.
type Layout struct {
	hosts []HostLayout
	// folder contains the data folder of each host.
	folder string
	extra  string
}

// HostLayout holds the name, the role and the addresses of one host.
type HostLayout struct {
	Name       string
	DataCentre string
	Control    bool
	Peer       string
	Caller     string
	Operator   string
	Backend    string
}

// NewLayout finds free addresses for a number of hosts, spread over three data centres.
// The first controls hosts have the control role. Each host has its own IP address. The
// extra settings are appended to each host's settings file.
func NewLayout(hosts, controls int, folder, extra string) (*Layout, error) {
	l := &Layout{folder: folder, extra: extra}
	centres := []string{"hall-a", "hall-b", "hall-c"}
	for i := range hosts {
		addresses, err := FreeAddresses(nextIP(), 4)
		if err != nil {
			return nil, err
		}
		l.hosts = append(l.hosts, HostLayout{
			Name: fmt.Sprintf("host-%d", i+1), DataCentre: centres[i%len(centres)], Control: i < controls,
			Peer: addresses[0], Caller: addresses[1], Operator: addresses[2], Backend: addresses[3],
		})
	}
	return l, nil
}

// usedIPs counts the IP addresses that this process has allocated.
var usedIPs atomic.Uint32

// nextIP returns a loopback address that no other host of this process uses and that
// another process is unlikely to use. Otherwise, a deployment that starts at the same time
// could take a port between the check that it is free and its use.
func nextIP() string {
	const minSecondOctet, secondOctets, hostsPerProcess = 16, 100, 254
	pid := os.Getpid()
	n := usedIPs.Add(1) - 1
	return fmt.Sprintf("127.%d.%d.%d", minSecondOctet+pid/256%secondOctets, pid%256, 1+n%hostsPerProcess)
}

// FreeAddresses returns n addresses on an IP address that no process listens on.
func FreeAddresses(ip string, n int) ([]string, error) {
	var out []string
	var open []net.Listener
	defer func() {
		for _, l := range open {
			_ = l.Close()
		}
	}()
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, errors.Newf("find a free address: %w", err)
		}
		open = append(open, l)
		out = append(out, l.Addr().String())
	}
	return out, nil
}

// Hosts returns the hosts of the deployment.
func (l *Layout) Hosts() []HostLayout { return l.hosts }

// Callers returns the addresses of all hosts for callers.
func (l *Layout) Callers() []string {
	return l.addresses(func(h HostLayout) string { return h.Caller })
}

// Backends returns the addresses of all hosts for announcements of backend servers.
func (l *Layout) Backends() []string {
	return l.addresses(func(h HostLayout) string { return h.Backend })
}

func (l *Layout) addresses(address func(HostLayout) string) []string {
	out := make([]string, len(l.hosts))
	for i, h := range l.hosts {
		out[i] = address(h)
	}
	return out
}

// DataFolder returns the data folder of a host.
func (l *Layout) DataFolder(host string) string { return filepath.Join(l.folder, host) }

// YAML returns the contents of a host's settings file.
func (l *Layout) YAML(host string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "deployment: demo\nhost: %s\nhosts:\n", host)
	for _, h := range l.hosts {
		fmt.Fprintf(&b, "  - name: %s\n    data-centre: %s\n    control: %t\n", h.Name, h.DataCentre, h.Control)
		fmt.Fprintf(&b, "    peer-address: %s\n    caller-address: %s\n", h.Peer, h.Caller)
		fmt.Fprintf(&b, "    operator-address: %s\n    backend-address: %s\n", h.Operator, h.Backend)
	}
	fmt.Fprintf(&b, "control:\n  data-folder: %s\n", l.DataFolder(host))
	b.WriteString(l.extra)
	return b.String()
}
