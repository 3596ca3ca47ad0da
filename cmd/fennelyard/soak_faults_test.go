package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/stretchr/testify/require"
)

// harm injects one fault after the other; several overlap.
func (s *soak) harm(r *rand.Rand) {
	var names []string
	for i := range soakControls {
		names = append(names, fmt.Sprint("core-", i))
	}
	for i := range s.entries {
		names = append(names, fmt.Sprint("entry-", i))
	}
	var wg sync.WaitGroup
	busy := map[string]chan struct{}{}
	for s.ctx.Err() == nil {
		name := names[r.IntN(len(names))]
		if done := busy[name]; done != nil {
			<-done
		}
		done := make(chan struct{})
		busy[name] = done
		kinds := hostFaults
		if s.proxies[name] != nil {
			kinds = allFaults
		}
		fault, pause := r.IntN(kinds), time.Duration(100+r.IntN(1500))*time.Millisecond
		wg.Go(func() {
			defer close(done)
			s.strike(name, fault, pause)
		})
		time.Sleep(time.Duration(100+r.IntN(600)) * time.Millisecond)
	}
	wg.Wait()
}

// hostFaults is how many kinds of fault strike has for a host, and allFaults for one with a
// proxy.
const hostFaults, allFaults = 4, 7

func (s *soak) strike(name string, fault int, pause time.Duration) {
	p := s.fleet.process(name)
	switch fault {
	case 0, 1:
		_ = p.cmd.Process.Signal([]syscall.Signal{syscall.SIGKILL, syscall.SIGTERM}[fault])
		<-p.done
		time.Sleep(pause)
		s.start(name, false)
	case 2:
		s.frozen(name, pause)
		_ = p.cmd.Process.Signal(syscall.SIGSTOP)
		time.Sleep(pause)
		s.frozen(name, 0)
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
	case 4, 5:
		s.proxies[name].sever(direction(fault-hostFaults), pause)
		time.Sleep(pause)
	case 6:
		s.proxies[name].sever(directionTo, pause)
		s.proxies[name].sever(directionBack, pause)
		time.Sleep(pause)
	default:
		_ = p.cmd.Process.Signal(syscall.SIGHUP)
		// A process that ends by itself is started again, as the platform does:
		// nothing can listen for the signal before the program runs.
		select {
		case <-p.done:
			s.start(name, false)
		case <-time.After(pause):
		}
	}
}

// proxyControls starts a proxy before each control host.
func (s *soak) proxyControls() (closed func()) {
	if !s.severed {
		return func() {}
	}
	for i := range soakControls {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", s.control(i), s.port))
		require.NoError(s.t, err)
		target := fmt.Sprintf("%s:%d", s.behind(i), s.port)
		s.proxies[fmt.Sprint("core-", i)] = newProxy(s.alive, s.ctx, l, target, streamBytes, rand.New(rand.NewPCG(s.seed, uint64(500+i))))
	}
	return func() {
		for _, p := range s.proxies {
			p.close()
		}
	}
}
