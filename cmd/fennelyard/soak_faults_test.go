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

// injectFaults injects faults into random hosts until the soak's context ends. Faults of
// several hosts overlap.
func (s *soak) injectFaults(r *rand.Rand) {
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
		unlock := s.lockHost(name)
		faultCount := unproxiedHostFaultCount
		if s.proxies[name] != nil {
			faultCount = hostFaultCount
		}
		fault, pause := hostFault(r.IntN(int(faultCount))), time.Duration(100+r.IntN(1500))*time.Millisecond
		wg.Go(func() {
			defer unlock()
			s.injectFault(name, fault, pause)
		})
		time.Sleep(time.Duration(100+r.IntN(600)) * time.Millisecond)
	}
	wg.Wait()
}

// hostFault is a fault of a host.
type hostFault int

// The faults of hosts.
const (
	faultKill hostFault = iota
	faultStop
	faultFreeze
	faultReload
	// faultBlockRequests, faultBlockResponses and faultBlockBoth block the peer connections
	// of a host in one direction, the other, or both. They need a proxy in front of the host.
	faultBlockRequests
	faultBlockResponses
	faultBlockBoth
	hostFaultCount
	unproxiedHostFaultCount = faultBlockRequests
)

// injectFault injects a fault into a host and recovers the host after a pause.
func (s *soak) injectFault(name string, fault hostFault, pause time.Duration) {
	p := s.cluster.process(name)
	switch fault {
	case faultKill, faultStop:
		signal := syscall.SIGKILL
		if fault == faultStop {
			signal = syscall.SIGTERM
		}
		s.stopProcess(p, signal)
		time.Sleep(pause)
		s.startHost(name, false)
	case faultFreeze:
		s.setFrozen(name, pause)
		_ = p.cmd.Process.Signal(syscall.SIGSTOP)
		time.Sleep(pause)
		s.setFrozen(name, 0)
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
	case faultBlockRequests, faultBlockResponses, faultBlockBoth:
		if fault != faultBlockResponses {
			s.proxies[name].block(directionRequest, pause)
		}
		if fault != faultBlockRequests {
			s.proxies[name].block(directionResponse, pause)
		}
		time.Sleep(pause)
	default:
		_ = p.cmd.Process.Signal(syscall.SIGHUP)
		// A process that exits is restarted, as a supervisor does: before the program
		// runs it cannot catch the signal, which then ends the process.
		select {
		case <-p.done:
			s.startHost(name, false)
		case <-time.After(pause):
		}
	}
}

// stopProcess sends a signal that ends a process and waits until it has exited.
func (s *soak) stopProcess(p *process, signal syscall.Signal) {
	_ = p.cmd.Process.Signal(signal)
	<-p.done
}

// loseDisk kills one control host and removes its data, once in a soak. The others have all
// that was acknowledged, and the host rejoins them with an empty disk.
func (s *soak) loseDisk(r *rand.Rand) {
	name, after := fmt.Sprint("core-", r.IntN(soakControls)), time.Duration(1+r.IntN(4))*time.Second
	select {
	case <-s.ctx.Done():
		return
	case <-time.After(after):
	}
	defer s.lockHost(name)()
	s.stopProcess(s.cluster.process(name), syscall.SIGKILL)
	require.NoError(s.t, os.RemoveAll(filepath.Join(s.folder, name)))
	s.startHost(name, false)
}

// lockHost waits until no other fault is in progress at a host and excludes further faults
// until unlock is called.
func (s *soak) lockHost(name string) (unlock func()) {
	s.mu.Lock()
	lock := s.hostLocks[name]
	if lock == nil {
		lock = &sync.Mutex{}
		s.hostLocks[name] = lock
	}
	s.mu.Unlock()
	lock.Lock()
	return lock.Unlock
}

// startControlProxies starts a proxy in front of each control host, if the soak has them.
func (s *soak) startControlProxies() (closeProxies func()) {
	if !s.proxiedControls {
		return func() {}
	}
	for i := range soakControls {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", s.controlIP(i), s.port))
		require.NoError(s.t, err)
		target := fmt.Sprintf("%s:%d", s.controlListenIP(i), s.port)
		s.proxies[fmt.Sprint("core-", i)] = newProxy(s.serversCtx, s.ctx, l, target, maxStreamFaultBytes, rand.New(rand.NewPCG(s.seed, uint64(500+i))))
	}
	return func() {
		for _, p := range s.proxies {
			p.close()
		}
	}
}
