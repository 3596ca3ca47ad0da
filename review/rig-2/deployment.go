package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// zones are the zones of the deployment.
var zones = []string{"hall-a", "hall-b", "hall-c"}

// seedCount is how many control machines the settings name.
const seedCount = 3

// machine is one machine of the deployment. Ports are the same on all of them.
type machine struct {
	name, zone, ip string
	// front is set for machines that run the entry role; the others run the control role.
	front bool
}

// deployment is a small deployment: control machines with a disk, the first three of which are the seeds, and entries.
type deployment struct {
	r *run
	// control and fronts are in the order of their addresses.
	control, fronts []machine
	// The ports of the calls between machines, of the metrics, of the control, client, readiness and directory calls.
	peerPort, metricsPort, controlPort, clientPort, readyPort, directoryPort int
}

func newDeployment(r *run, control, fronts int) (*deployment, error) {
	d := &deployment{r: r}
	var ips []string
	for i := range control {
		m := machine{name: fmt.Sprintf("core-%d", i+1), zone: zones[i%len(zones)], ip: loopback(0, 11+i)}
		d.control, ips = append(d.control, m), append(ips, m.ip)
	}
	for i := range fronts {
		m := machine{name: fmt.Sprintf("front-%d", i+1), zone: zones[i%len(zones)], ip: loopback(1, 11+i), front: true}
		d.fronts, ips = append(d.fronts, m), append(ips, m.ip)
	}
	ports, err := freePorts(6, ips)
	if err != nil {
		return nil, err
	}
	d.peerPort, d.metricsPort, d.controlPort, d.clientPort, d.readyPort, d.directoryPort = ports[0], ports[1], ports[2], ports[3], ports[4], ports[5]
	return d, nil
}

// loopback returns a loopback address of this play: others that run at the same time have others.
func loopback(group, n int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid%128, pid/128%64*4+group, n)
}

func address(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// controlAddresses are the control addresses of machines.
func (d *deployment) controlAddresses(machines []machine) []string {
	var out []string
	for _, m := range machines {
		out = append(out, address(m.ip, d.controlPort))
	}
	return out
}

// settings renders the settings of a machine as the platform does from deploy/settings.yaml. Bootstrap is true only when
// the whole system starts for the first time.
func (d *deployment) settings(m machine, seeds []machine, bootstrap bool) string {
	var b strings.Builder
	line := func(key string, value any) { fmt.Fprintf(&b, "%s: %v\n", key, value) }
	line("host", strconv.Quote(m.name))
	line("data-centre", strconv.Quote(m.zone))
	line("ip", strconv.Quote(m.ip))
	line("peer-port", d.peerPort)
	line("metrics-port", d.metricsPort)
	line("seeds", `["`+strings.Join(d.controlAddresses(seeds), `","`)+`"]`)
	line("founding", bootstrap)
	line("counted", !m.front)
	if m.front {
		line("caller-address", strconv.Quote(address(m.ip, d.clientPort)))
		line("ready-address", strconv.Quote(address(m.ip, d.readyPort)))
		line("directory-address", strconv.Quote(address(m.ip, d.directoryPort)))
		line("disk-mb", 0)
		line("memory-mb", 284)
		line("max-descriptors", 4100)
	} else {
		line("data-folder", strconv.Quote(filepath.Join(d.r.folder, "disk-"+m.name)))
		line("operator-address", strconv.Quote(address(m.ip, d.controlPort)))
		line("disk-mb", 128)
		line("memory-mb", 280)
		line("max-descriptors", 4096)
	}
	line("announce-every", "1200ms")
	line("stop-limit", "8s")
	line("order-lease", "3000ms")
	line("repeat-ratio", 0.2)
	line("repeat-window", "10s")
	line("repeat-slack", 52)
	line("load-window", "5s")
	return b.String()
}

// start starts the program of a machine with the seeds of the first start.
func (d *deployment) start(m machine, bootstrap bool) (*process, error) {
	return d.startWithSeeds(m, d.control[:seedCount], bootstrap)
}

// startWithSeeds starts the program of a machine.
func (d *deployment) startWithSeeds(m machine, seeds []machine, bootstrap bool) (*process, error) {
	p, err := d.r.start(m.name, d.settings(m, seeds, bootstrap))
	if err == nil {
		d.r.notef("machine %s (%s) starts, Bootstrap = %v", m.name, m.ip, bootstrap)
	}
	return p, err
}
