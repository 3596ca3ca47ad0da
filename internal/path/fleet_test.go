package path_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
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
	"fennelyard/internal/tcp"
	"fennelyard/internal/tunnel"
)

const (
	fleetServers = 24
	// fleetListInterval is the time after which all hosts know which of them have lost their paths.
	fleetListInterval = 700 * time.Millisecond
	// fleetGrace is how long after the begin of a partition attempts may fail.
	fleetGrace = 3 * time.Second
	// fleetFailedShare and fleetFailedSlack bound the attempts that may fail afterwards.
	fleetFailedShare = 0.02
	fleetFailedSlack = 10
)

// fleet simulates hosts of some data centres that carry connections for each other.
type fleet struct {
	hosts map[string]*fleetHost
	names []string
	// inDataCentre is the number of hosts by data centre.
	inDataCentre map[string]int

	mu sync.Mutex
	// cut is how direct connections of hosts fail; those without an entry connect. crashed are the
	// servers that refuse all connections, and usable the hosts that are listed to reach the servers.
	cut     map[string]error
	crashed map[string]bool
	usable  []string
	// attempts and failed count since the last reset, by whether the host is cut off.
	attempts, failed map[bool]int
	// falselyEnded counts the attempts that took a server for ended that had not.
	falselyEnded int
}

type fleetHost struct {
	name, dataCentre string
	dialer           *path.Dialer
}

func newFleet(hosts, dataCentres int) *fleet {
	f := &fleet{
		hosts: map[string]*fleetHost{}, inDataCentre: map[string]int{}, cut: map[string]error{}, crashed: map[string]bool{}, attempts: map[bool]int{}, failed: map[bool]int{},
	}
	for i := range hosts {
		h := &fleetHost{name: fmt.Sprint("h", i), dataCentre: fmt.Sprint("dc", i%dataCentres)}
		random := rand.New(rand.NewSource(int64(i)))
		var mu sync.Mutex
		h.dialer = path.New(path.Config{
			Direct:  func(ctx context.Context, address string) (net.Conn, error) { return f.connect(ctx, h, address) },
			Through: f.through, Hosts: func() (preferred, others []string) { return f.list(h) }, Cooling: func(string) bool { return false }, OnChange: func() {},
			Random: func(n int) int {
				mu.Lock()
				defer mu.Unlock()
				return random.Intn(n)
			},
			Log: logr.Discard(),
		})
		f.hosts[h.name], f.names = h, append(f.names, h.name)
		f.inDataCentre[h.dataCentre]++
	}
	f.usable = f.names
	return f
}

// connect opens a direct connection of a host.
func (f *fleet) connect(ctx context.Context, h *fleetHost, address string) (net.Conn, error) {
	f.mu.Lock()
	err := f.cut[h.name]
	if err == nil && f.crashed[address] {
		err = syscall.ECONNREFUSED
	}
	f.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, tcp.ConnectTimeout)
	defer cancel()
	time.Sleep(time.Millisecond)
	if err = finish(ctx, err); err != nil {
		return nil, err
	}
	return fakeConn{}, nil
}

// through opens a tunnel, as tunnel.Server does.
func (f *fleet) through(ctx context.Context, host, address string) (net.Conn, error) {
	h := f.hosts[host]
	time.Sleep(time.Millisecond)
	switch {
	case h.dialer.Lost():
		return nil, tunnel.ErrUnavailable
	case h.dialer.LostTo(address):
		return nil, tunnel.ErrNotToServer
	}
	_, err := h.dialer.Connect(ctx, address)
	switch {
	case err == nil:
		return fakeConn{via: host}, nil
	case ctx.Err() != nil:
		return nil, tunnel.ErrUnavailable
	case errors.Is(err, syscall.ECONNREFUSED) && h.dialer.ReachesOther(ctx, address):
		return nil, tunnel.ErrServerRefused
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, tunnel.ErrRefusedUnsure
	}
	return nil, tunnel.ErrServerSilent
}

// list returns the hosts that are listed to reach the servers, as gateway.TunnelHosts does.
func (f *fleet) list(self *fleetHost) (preferred, others []string) {
	f.mu.Lock()
	usable := f.usable
	f.mu.Unlock()
	if len(usable) == 0 {
		usable = f.names
	}
	for _, name := range usable {
		switch {
		case name == self.name:
		case f.hosts[name].dataCentre == self.dataCentre:
			preferred = append(preferred, name)
		default:
			others = append(others, name)
		}
	}
	if 2*len(preferred) < f.inDataCentre[self.dataCentre] {
		return nil, slices.Concat(preferred, others)
	}
	return preferred, others
}

// run plays load on all hosts for some time, and updates the list of usable hosts.
func (f *fleet) run(length time.Duration) {
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			var usable []string
			for _, name := range f.names {
				if !f.hosts[name].dialer.Unreached() {
					usable = append(usable, name)
				}
			}
			select {
			case <-stop:
				return
			case <-time.After(fleetListInterval):
			}
			f.mu.Lock()
			f.usable = usable
			f.mu.Unlock()
		}
	})
	for i, name := range f.names {
		random := rand.New(rand.NewSource(int64(1000 + i)))
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(random.ExpFloat64() * float64(250*time.Millisecond))):
				}
				f.attempt(name, fmt.Sprint("s", random.Intn(fleetServers)))
			}
		})
	}
	time.Sleep(length)
	close(stop)
	wg.Wait()
}

func (f *fleet) attempt(name, server string) {
	_, err := f.hosts[name].dialer.Dial(context.Background(), server)
	f.mu.Lock()
	defer f.mu.Unlock()
	cut := f.cut[name] != nil
	f.attempts[cut]++
	if err != nil {
		f.failed[cut]++
	}
	if errors.Is(err, syscall.ECONNREFUSED) && !f.crashed[server] {
		f.falselyEnded++
	}
}

// reset begins to count anew.
func (f *fleet) reset() {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.attempts)
	clear(f.failed)
}

// Many of hundreds of hosts lose their paths at the same moment: the others must be found among all those
// that fail as well and are not listed yet as doing so.
func TestHundredsOfHostsLoseTheirPaths(t *testing.T) {
	for _, failure := range []error{errSilent, syscall.ECONNREFUSED} {
		for _, test := range []struct {
			name string
			// cut reports whether the path of host i is lost.
			cut func(i int) bool
		}{
			{"one data centre of three", func(i int) bool { return i%3 == 0 }},
			{"most of one data centre", func(i int) bool { return i%3 == 0 && i%30 != 0 }},
			{"two data centres of three", func(i int) bool { return i%3 != 0 }},
			{"all but five", func(i int) bool { return i >= 5 }},
		} {
			t.Run(fmt.Sprint(test.name, "/", failure), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(291, 3)
					defer func() {
						for _, h := range f.hosts {
							h.dialer.Close()
						}
					}()
					f.run(time.Second)
					f.mu.Lock()
					for i, name := range f.names {
						if test.cut(i) {
							f.cut[name] = failure
						}
					}
					f.mu.Unlock()
					for range 3 {
						f.reset()
						f.run(fleetGrace / 3)
						t.Logf("%d of %d attempts failed", f.failed[true], f.attempts[true])
					}
					f.reset()
					f.run(5 * time.Second)
					t.Logf("then %d of %d attempts failed, %d of %d at the others", f.failed[true], f.attempts[true], f.failed[false], f.attempts[false])
					require.LessOrEqual(t, float64(f.failed[true]), fleetFailedSlack+fleetFailedShare*float64(f.attempts[true]))
					require.Zero(t, f.failed[false])
					require.Zero(t, f.falselyEnded)
				})
			})
		}
	}
}
