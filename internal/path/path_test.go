package path_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"fennelyard/internal/path"
	"fennelyard/internal/tunnel"
)

// errSilent makes a simulated connection hang until it is given up.
var errSilent = errors.New("silent")

// network simulates the paths of a host. The zero value of an error connects.
type network struct {
	mu sync.Mutex
	// direct is how direct connections to all servers fail, and server how those to single ones do,
	// over any path. hosts is how those through single hosts fail.
	direct        error
	server, hosts map[string]error
	// delay is the time that a direct connection takes.
	delay time.Duration
	// directs and throughs count the connections tried.
	directs  int
	throughs []string
	// cooling are the servers that want nothing from the host, and connected the addresses of all direct
	// connections tried.
	cooling   map[string]bool
	connected []string
	// preferred and others are the hosts to ask, and changes counts the changes of Lost.
	preferred, others []string
	changes           int
}

type fakeConn struct {
	net.Conn
	via string
}

func (c fakeConn) Via() string  { return c.via }
func (c fakeConn) Close() error { return nil }

func (n *network) set(f func(n *network)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f(n)
}

// counts returns the number of direct connections, and the hosts asked.
func (n *network) counts() (directs int, throughs []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.directs, slices.Clone(n.throughs)
}

func (n *network) changeCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changes
}

func finish(ctx context.Context, err error) error {
	if errors.Is(err, errSilent) {
		<-ctx.Done()
		return ctx.Err()
	}
	return err
}

func (n *network) dialer() *path.Dialer {
	return path.New(path.Config{
		Direct: func(ctx context.Context, address string) (net.Conn, error) {
			n.mu.Lock()
			n.directs++
			n.connected = append(n.connected, address)
			err, delay := n.direct, n.delay
			if err == nil {
				err = n.server[address]
			}
			n.mu.Unlock()
			time.Sleep(time.Millisecond + delay)
			if err = finish(ctx, err); err != nil {
				return nil, err
			}
			a, _ := net.Pipe()
			return a, nil
		},
		Through: func(ctx context.Context, host, address string) (net.Conn, error) {
			n.mu.Lock()
			n.throughs = append(n.throughs, host)
			err := n.hosts[host]
			switch {
			case err != nil || n.server[address] == nil:
			case errors.Is(n.server[address], syscall.ECONNREFUSED):
				err = tunnel.ErrServerRefused
			default:
				err = n.server[address]
			}
			n.mu.Unlock()
			time.Sleep(2 * time.Millisecond)
			if err = finish(ctx, err); err != nil {
				return nil, err
			}
			return fakeConn{via: host}, nil
		},
		Hosts: func() (preferred, others []string) {
			n.mu.Lock()
			defer n.mu.Unlock()
			return n.preferred, n.others
		},
		Cooling: func(address string) bool {
			n.mu.Lock()
			defer n.mu.Unlock()
			return n.cooling[address]
		},
		OnChange: func() { n.set(func(n *network) { n.changes++ }) },
		Random:   func(int) int { return 0 }, Log: logr.Discard(),
	})
}

// dial connects and returns the host that carries the connection.
func dial(d *path.Dialer, address string) (via string, took time.Duration, err error) {
	start := time.Now()
	conn, err := d.Dial(context.Background(), address)
	if c, ok := conn.(fakeConn); ok {
		via = c.via
	}
	return via, time.Since(start), err
}

// simulate runs a test on simulated time with two hosts to ask.
func simulate(t *testing.T, n *network, f func(t *testing.T, d *path.Dialer)) {
	t.Helper()
	n.server, n.hosts = map[string]error{}, map[string]error{}
	n.preferred, n.others = []string{"near"}, []string{"far"}
	synctest.Test(t, func(t *testing.T) {
		d := n.dialer()
		defer d.Close()
		f(t, d)
	})
}

// A host that reaches the servers itself must ask nobody else, however many servers crash.
func TestSoundHostConnectsDirectly(t *testing.T) {
	n := &network{}
	simulate(t, n, func(t *testing.T, d *path.Dialer) {
		for i := range 20 {
			n.set(func(n *network) { n.server[fmt.Sprint("crashed", i)] = syscall.ECONNREFUSED })
			_, _, err := dial(d, fmt.Sprint("crashed", i))
			require.ErrorIs(t, err, syscall.ECONNREFUSED)
			require.NotErrorIs(t, err, path.ErrNoPath)
			via, _, err := dial(d, "sound")
			require.NoError(t, err)
			require.Empty(t, via)
		}
		require.False(t, d.Lost())
		require.Zero(t, n.changeCount())
	})
}

// A path is lost and found again: connections go through other hosts at once meanwhile, and directly
// soon afterwards.
func TestLostPathIsAvoidedUntilItIsBack(t *testing.T) {
	for name, failure := range map[string]error{"refused": syscall.ECONNREFUSED, "reset": syscall.ECONNRESET, "silent": errSilent} {
		t.Run(name, func(t *testing.T) {
			n := &network{}
			simulate(t, n, func(t *testing.T, d *path.Dialer) {
				_, _, err := dial(d, "s0")
				require.NoError(t, err)
				for round := range 3 {
					n.set(func(n *network) { n.direct = failure })
					for i := range 3 {
						via, took, err := dial(d, fmt.Sprint("s", i))
						require.NoError(t, err)
						require.Equal(t, "near", via)
						require.Less(t, took, 200*time.Millisecond)
					}
					time.Sleep(1500 * time.Millisecond)
					require.True(t, d.Lost())
					for i := range 10 {
						via, took, err := dial(d, fmt.Sprint("t", i))
						require.NoError(t, err)
						require.Equal(t, "near", via)
						require.Less(t, took, 5*time.Millisecond, "no wait for a path that is known to be lost")
					}
					n.set(func(n *network) { n.direct = nil })
					time.Sleep(1200 * time.Millisecond)
					require.False(t, d.Lost())
					for i := range 3 {
						via, _, err := dial(d, fmt.Sprint("s", i))
						require.NoError(t, err)
						require.Empty(t, via)
					}
					require.Equal(t, 2*(round+1), n.changeCount())
				}
			})
		})
	}
}

// The path to some servers alone is lost: connections to the others must stay direct.
func TestPathToSomeServersIsLost(t *testing.T) {
	n := &network{}
	simulate(t, n, func(t *testing.T, _ *path.Dialer) {
		lost := func(i int) bool { return i%2 == 0 }
		for i := range 10 {
			if lost(i) {
				n.set(func(n *network) { n.server[fmt.Sprint("s", i)] = syscall.ECONNREFUSED })
			}
		}
		through := n.dialerWithDirectOnly()
		defer through.Close()
		for range 5 {
			for i := range 10 {
				via, _, err := dial(through, fmt.Sprint("s", i))
				require.NoError(t, err)
				if lost(i) {
					require.Equal(t, "near", via)
				}
			}
			time.Sleep(2 * time.Second)
		}
		for i := range 10 {
			via, _, err := dial(through, fmt.Sprint("s", i))
			require.NoError(t, err)
			require.Equal(t, lost(i), via == "near", i)
		}
	})
}

// dialerWithDirectOnly returns a dialer for which n.server is how direct connections fail; other hosts
// reach all servers.
func (n *network) dialerWithDirectOnly() *path.Dialer {
	return path.New(path.Config{
		Direct: func(_ context.Context, address string) (net.Conn, error) {
			time.Sleep(time.Millisecond)
			n.mu.Lock()
			defer n.mu.Unlock()
			if err := n.server[address]; err != nil {
				return nil, err
			}
			a, _ := net.Pipe()
			return a, nil
		},
		Through:  func(_ context.Context, host, _ string) (net.Conn, error) { return fakeConn{via: host}, nil },
		Hosts:    func() (preferred, others []string) { return []string{"near"}, nil },
		Cooling:  func(string) bool { return false },
		OnChange: func() {}, Random: func(int) int { return 0 }, Log: logr.Discard(),
	})
}

// Whether a server has ended decides whether the requests that ran there are taken for harmful: a
// refusal on a path that may be lost must not count, and one that others confirm must.
func TestRefusalCountsOnlyIfItIsConfirmed(t *testing.T) {
	for name, test := range map[string]struct {
		direct        error
		near, far     error
		noHosts       bool
		wantEnded     bool
		wantConnected bool
	}{
		"no other host":                        {direct: syscall.ECONNREFUSED, noHosts: true, wantEnded: true},
		"others refused as well":               {direct: syscall.ECONNREFUSED, near: tunnel.ErrServerRefused, far: tunnel.ErrServerRefused, wantEnded: true},
		"one other refused, one unavailable":   {direct: syscall.ECONNREFUSED, near: tunnel.ErrServerRefused, far: tunnel.ErrUnavailable, wantEnded: true},
		"others refused, unsure":               {direct: syscall.ECONNREFUSED, near: tunnel.ErrRefusedUnsure, far: tunnel.ErrRefusedUnsure, wantEnded: true},
		"one unsure, one silent":               {direct: syscall.ECONNREFUSED, near: tunnel.ErrRefusedUnsure, far: tunnel.ErrServerSilent},
		"one unsure, one connects":             {direct: syscall.ECONNREFUSED, near: tunnel.ErrRefusedUnsure, wantConnected: true},
		"others unavailable":                   {direct: syscall.ECONNREFUSED, near: tunnel.ErrUnavailable, far: tunnel.ErrUnavailable},
		"others do not know the server":        {direct: syscall.ECONNREFUSED, near: tunnel.ErrNotToServer, far: tunnel.ErrNotToServer},
		"one other gets no response":           {direct: syscall.ECONNREFUSED, near: tunnel.ErrServerRefused, far: tunnel.ErrServerSilent},
		"silent, refused to others":            {direct: errSilent, near: tunnel.ErrServerRefused, far: tunnel.ErrServerRefused, wantEnded: true},
		"silent, refused to one other":         {direct: errSilent, near: tunnel.ErrServerRefused, far: tunnel.ErrUnavailable},
		"silent to all":                        {direct: errSilent, near: tunnel.ErrServerSilent, far: tunnel.ErrServerSilent},
		"refused, one other has lost its path": {direct: syscall.ECONNREFUSED, near: tunnel.ErrServerRefused, wantConnected: true},
	} {
		t.Run(name, func(t *testing.T) {
			n := &network{direct: test.direct}
			simulate(t, n, func(t *testing.T, d *path.Dialer) {
				if test.noHosts {
					n.preferred, n.others = nil, nil
				}
				n.hosts["near"], n.hosts["far"] = test.near, test.far
				_, took, err := dial(d, "s")
				require.Equal(t, test.wantConnected, err == nil)
				require.Equal(t, test.wantEnded, errors.Is(err, syscall.ECONNREFUSED))
				require.Less(t, took, 500*time.Millisecond)
			})
		})
	}
}

// A host without any path must say so at once, as its callers are served by others.
func TestNoPathIsReportedAtOnce(t *testing.T) {
	n := &network{direct: errSilent}
	simulate(t, n, func(t *testing.T, d *path.Dialer) {
		for i := range 3 {
			_, _, err := dial(d, fmt.Sprint("s", i))
			require.NoError(t, err)
		}
		time.Sleep(time.Second)
		require.True(t, d.Lost())
		n.set(func(n *network) { n.hosts["near"], n.hosts["far"] = tunnel.ErrUnavailable, tunnel.ErrUnavailable })
		for range 5 {
			_, took, err := dial(d, "s0")
			require.ErrorIs(t, err, path.ErrNoPath)
			require.Less(t, took, 10*time.Millisecond)
		}
		n.set(func(n *network) { n.preferred, n.others = nil, nil })
		_, _, err := dial(d, "s0")
		require.ErrorIs(t, err, path.ErrNoPath)
		n.set(func(n *network) { n.preferred, n.others, n.hosts["far"] = nil, []string{"far"}, nil })
		time.Sleep(path.RetryInterval)
		via, _, err := dial(d, "s0")
		require.NoError(t, err)
		require.Equal(t, "far", via)
	})
}

// The host that is asked first is frozen: another one must be asked, and the frozen one left out.
func TestSlowHostIsSetAside(t *testing.T) {
	n := &network{direct: errSilent}
	simulate(t, n, func(t *testing.T, d *path.Dialer) {
		n.hosts["near"] = errSilent
		for i := range 2 {
			via, _, err := dial(d, fmt.Sprint("s", i))
			require.NoError(t, err)
			require.Equal(t, "far", via)
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(200 * time.Millisecond)
		n.set(func(n *network) { n.throughs = nil })
		_, took, err := dial(d, "s0")
		require.NoError(t, err)
		require.Less(t, took, 10*time.Millisecond)
		_, throughs := n.counts()
		require.Equal(t, []string{"far"}, throughs)
	})
}

// All hosts of the own data centre have lost their paths as well and do not know it yet: one of another
// data centre must be asked in time.
func TestHostsOfOtherDataCentresAreAsked(t *testing.T) {
	for name, failure := range map[string]error{"silent": errSilent, "refused": syscall.ECONNREFUSED} {
		t.Run(name, func(t *testing.T) {
			n := &network{direct: failure}
			simulate(t, n, func(t *testing.T, d *path.Dialer) {
				n.preferred, n.others = []string{"near", "near2", "near3"}, []string{"far", "far2"}
				for _, near := range n.preferred {
					n.hosts[near] = failure
				}
				for i := range 3 {
					via, took, err := dial(d, fmt.Sprint("s", i))
					require.NoError(t, err)
					require.Equal(t, "far", via)
					require.Less(t, took, 400*time.Millisecond)
				}
			})
		})
	}
}

// A server that takes a while to accept, or a host that is slow itself, must not make the path count as
// lost.
func TestSlowPathIsNotLost(t *testing.T) {
	n := &network{delay: 250 * time.Millisecond}
	simulate(t, n, func(t *testing.T, d *path.Dialer) {
		for i := range 10 {
			_, _, err := dial(d, fmt.Sprint("s", i))
			require.NoError(t, err)
		}
		time.Sleep(time.Second)
		require.False(t, d.Lost())
		require.Zero(t, d.State().LostServers)
	})
}

// Many connections to servers without power must not make a host ask others for each of them.
func TestHostsAskedAreBounded(t *testing.T) {
	n := &network{}
	simulate(t, n, func(t *testing.T, d *path.Dialer) {
		for i := range 300 {
			n.server[fmt.Sprint("s", i)] = errSilent
		}
		var wg sync.WaitGroup
		for i := range 300 {
			wg.Go(func() { _, _, _ = dial(d, fmt.Sprint("s", i)) })
		}
		wg.Wait()
		_, throughs := n.counts()
		require.LessOrEqual(t, len(throughs), 32)
		require.False(t, d.Lost())
	})
}

// A caller that leaves proves nothing about the server.
func TestCanceledAttemptProvesNothing(t *testing.T) {
	n := &network{direct: errSilent}
	simulate(t, n, func(t *testing.T, d *path.Dialer) {
		n.hosts["near"], n.hosts["far"] = errSilent, errSilent
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		_, err := d.Dial(ctx, "s")
		require.Error(t, err)
		require.Equal(t, path.State{}, d.State())
	})
}
