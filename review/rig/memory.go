package main

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"
)

// memoryInterval is how often the platform looks at the memory of the processes.
const memoryInterval = 20 * time.Millisecond

// enforceMemory kills each host that uses more than memoryMb, as the platform does, until stop is closed.
func (d *deployment) enforceMemory(stop <-chan struct{}) {
	most := map[string]int{}
	defer func() {
		for name, mb := range most {
			d.record.add("platform: %s used %d MB at most", name, mb)
		}
	}()
	for {
		select {
		case <-stop:
			return
		case <-time.After(memoryInterval):
		}
		for i := range entries {
			name := entryName(i)
			mb := residentMb(d.pid(name))
			if mb > memoryMb {
				d.record.add("platform: %s uses %d MB, of %d", name, mb, memoryMb)
				_ = d.signal(name, syscall.SIGKILL)
				_ = d.await(name)
			}
			most[name] = max(most[name], mb)
		}
	}
}

// pid returns the ID of a process, 0 if it does not run.
func (d *deployment) pid(name string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if cmd := d.processes[name]; cmd != nil {
		return cmd.Process.Pid
	}
	return 0
}

// residentMb returns the resident memory of a process that this program started.
func residentMb(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), "VmRSS:")
	kb := 0
	_, _ = fmt.Sscan(rest, &kb)
	return kb >> 10
}
