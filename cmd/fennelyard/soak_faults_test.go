package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
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
	for s.ctx.Err() == nil {
		name := names[r.IntN(len(names))]
		free := s.seize(name)
		kinds := unproxiedFaults
		if s.proxies[name] != nil {
			kinds = hostFaults
		}
		fault, pause := hostFault(r.IntN(int(kinds))), time.Duration(100+r.IntN(1500))*time.Millisecond
		wg.Go(func() {
			defer free()
			s.strike(name, fault, pause)
		})
		time.Sleep(time.Duration(100+r.IntN(600)) * time.Millisecond)
	}
	wg.Wait()
}

// hostFault is what is done to a host.
type hostFault int

// The faults.
const (
	faultKill hostFault = iota
	faultStop
	faultFreeze
	faultReload
	// faultCutTo, faultCutBack and faultCut need a proxy before the host: it is cut off in one
	// direction, the other, or both.
	faultCutTo
	faultCutBack
	faultCut
	hostFaults
	unproxiedFaults = faultCutTo
)

func (s *soak) strike(name string, fault hostFault, pause time.Duration) {
	p := s.fleet.process(name)
	switch fault {
	case faultKill, faultStop:
		signal := syscall.SIGKILL
		if fault == faultStop {
			signal = syscall.SIGTERM
		}
		s.end(p, signal)
		time.Sleep(pause)
		s.start(name, false)
	case faultFreeze:
		s.frozen(name, pause)
		_ = p.cmd.Process.Signal(syscall.SIGSTOP)
		time.Sleep(pause)
		s.frozen(name, 0)
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
	case faultCutTo, faultCutBack, faultCut:
		if fault != faultCutBack {
			s.proxies[name].sever(directionTo, pause)
		}
		if fault != faultCutTo {
			s.proxies[name].sever(directionBack, pause)
		}
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

// end ends a host and waits until its process is gone.
func (s *soak) end(p *process, signal syscall.Signal) {
	_ = p.cmd.Process.Signal(signal)
	<-p.done
}

// loseDisk has one control host lose its disk with its process, once in a soak: the others
// have all that was acknowledged, and take the empty one in again.
func (s *soak) loseDisk(r *rand.Rand) {
	name, after := fmt.Sprint("core-", r.IntN(soakControls)), time.Duration(1+r.IntN(4))*time.Second
	select {
	case <-s.ctx.Done():
		return
	case <-time.After(after):
	}
	defer s.seize(name)()
	s.end(s.fleet.process(name), syscall.SIGKILL)
	require.NoError(s.t, os.RemoveAll(filepath.Join(s.folder, name)))
	s.start(name, false)
}

// seize waits until nothing else is done to a host, and keeps others from it until the
// function that it returns is called.
func (s *soak) seize(name string) (free func()) {
	s.mu.Lock()
	busy := s.busy[name]
	if busy == nil {
		busy = &sync.Mutex{}
		s.busy[name] = busy
	}
	s.mu.Unlock()
	busy.Lock()
	return busy.Unlock
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
