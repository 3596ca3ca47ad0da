package role_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/roster"
	"fennelyard/internal/schema"
)

const (
	backendHealthPath = "/health"
	// departureWatch is how long requests are watched after the acknowledgement of a departure.
	departureWatch = 8 * time.Second
	// departureAckLimit is how long a server waits for an acknowledgement before it ends, at least.
	departureAckLimit = 4 * time.Second
)

// respondHealth responds to a health check.
func (p *backendProcess) respondHealth(conn net.Conn) {
	p.backends.mu.Lock()
	leaving := p.backends.draining[p.address]
	p.backends.mu.Unlock()
	status := "200 OK"
	if leaving {
		status = "503 leaving"
	}
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 %s\r\nX-Server: %s\r\nContent-Length: 0\r\n\r\n", status, p.id); err != nil {
		p.backends.deployment.t.Log(err)
	}
}

// depart has the server at an address leave: its health checks say so from now on, it announces nothing else, and it
// calls one control host after the other until one has acknowledged that it leaves. It returns when that was.
func (b *backends) depart(address string) time.Time {
	d := b.deployment
	b.setSilent(address, true)
	b.mu.Lock()
	b.draining[address] = true
	id := ""
	for p := range b.processes {
		if p.address == address {
			id = p.id
		}
	}
	b.mu.Unlock()
	start := time.Now()
	for sequence := uint64(1 << 20); ; sequence++ {
		require.Less(d.t, time.Since(start), departureAckLimit, "the departure is not acknowledged")
		for _, ip := range d.controlIPs() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			err := d.control[ip].Announce(ctx, roster.Announcement{ID: id, Pool: "app", Address: address, Slots: 1, Sequence: sequence, Leaving: true})
			cancel()
			if err == nil {
				return time.Now()
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// cutOffFrom cuts hosts off from others, in both directions.
func (d *deployment) cutOffFrom(hosts, others []string) {
	for _, host := range hosts {
		for _, other := range others {
			if host != other {
				d.network.Cut(host, other, true)
				d.network.Cut(other, host, true)
			}
		}
	}
}

// Hosts and entries fail before and while a server leaves. No request may reach it two seconds after the acknowledgement,
// also through entries that nobody can tell.
func TestNoRequestReachesAServerLongAfterItsDepartureIsAcknowledged(t *testing.T) {
	followersOf := func(d *deployment) (out []string) {
		for _, ip := range d.controlIPs() {
			if ip != d.leader() {
				out = append(out, ip)
			}
		}
		return out
	}
	// halfReachOne lets half of the entries reach one control host alone, which loses the leader.
	halfReachOne := func(d *deployment) {
		only := followersOf(d)[0]
		var others []string
		for _, ip := range d.controlIPs() {
			if ip != only {
				others = append(others, ip)
			}
		}
		d.cutOffFrom(d.entryIPs()[:len(d.entries)/2], others)
		d.cutOffFrom([]string{only}, []string{d.leader()})
	}
	for name, fail := range map[string]func(d *deployment){
		"nothing":                nil,
		"the leader loses power": func(d *deployment) { d.powerOff(d.leader()) },
		"a follower and the leader lose each other": func(d *deployment) { d.cutOffFrom(followersOf(d)[:1], []string{d.leader()}) },
		"the disks of two followers stall": func(d *deployment) {
			d.stall(followersOf(d)[0], 6*time.Second)
			d.stall(followersOf(d)[1], 6*time.Second)
		},
		"half of the entries are cut off from all control hosts":    func(d *deployment) { d.cutOffFrom(d.entryIPs()[:len(d.entries)/2], d.controlIPs()) },
		"half of the entries reach a host that has lost the leader": halfReachOne,
		"all entries are cut off from all control hosts":            func(d *deployment) { d.cutOffFrom(d.entryIPs(), d.controlIPs()) },
	} {
		for _, delay := range []time.Duration{0, 500 * time.Millisecond, 3 * time.Second} {
			t.Run(fmt.Sprint(name, ", ", delay), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					d := newSettledDeploymentOf(t, 81, 5, 6)
					defer d.close()
					b := startBackends(d, 3)
					defer b.close()
					d.setHealthPath()
					l := d.startLoad(d.entryIPs(), 10)
					time.Sleep(2 * time.Second)
					if fail != nil {
						fail(d)
					}
					time.Sleep(delay)
					acknowledged := b.depart(backendAddress(0))
					time.Sleep(departureWatch)
					statuses := l.end()
					late := b.requestsBetween(backendAddress(0), acknowledged.Add(departureLimit), time.Now())
					require.Empty(t, late, "of %v", statuses)
					served := 0
					for status, n := range statuses {
						if status == 200 {
							served += n
						}
					}
					t.Log(statuses)
					require.Positive(t, served)
				})
			})
		}
	}
}

// setHealthPath puts a configuration in force with a path for health checks.
func (d *deployment) setHealthPath() {
	require.NoError(d.t, d.control[d.leader()].PutConfiguration(context.Background(), &schema.PutConfiguration{
		Configuration: &schema.Configuration{Version: 3}, Pools: []*schema.Pool{{Name: "app", MaxConnections: backendMaxConnections, HealthPath: backendHealthPath}},
		Routes: []*schema.Route{{
			Name: "again", Host: "h.example", Prefix: "/again/", Repeat: schema.Repeat_REPEAT_WHOLE, TimeoutMs: 3000, AimMs: 300, MaxAttempts: 2,
			Shares: []*schema.Share{{Pool: "app", Weight: 1}},
		}},
	}))
}
