package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// program is what the deploy file runs on each machine.
const program = "target/fennelyard"

// run is one play of a case: its record, its temporary folder and the processes that it has started.
type run struct {
	// trouble is set unless the case is played without its disruption.
	trouble bool
	folder  string
	begun   time.Time

	mu        sync.Mutex
	record    *os.File
	processes []*process
	closed    bool
	// cleanups are called by close, the last one first.
	cleanups []func()
}

func newRun(record string, trouble bool) (*run, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, fmt.Errorf("create record: %w", err)
	}
	folder, err := os.MkdirTemp("", "rig-2-")
	if err != nil {
		return nil, fmt.Errorf("create temporary folder: %w", err)
	}
	r := &run{trouble: trouble, folder: folder, begun: time.Now(), record: f}
	r.notef("disruption: %v", trouble)
	return r, nil
}

// notef writes a line with the time since the beginning into the record.
func (r *run) notef(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.record != nil {
		text := strings.ReplaceAll(fmt.Sprintf(format, args...), r.folder, "FOLDER")
		fmt.Fprintf(r.record, "%8.3f  %s\n", time.Since(r.begun).Seconds(), text)
	}
}

// onClose registers what close must end.
func (r *run) onClose(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cleanups = append(r.cleanups, f)
}

// close ends all processes and stand-ins.
func (r *run) close() {
	r.mu.Lock()
	if r.closed {
		r.mu.Unlock()
		return
	}
	r.closed = true
	cleanups, processes := r.cleanups, r.processes
	r.mu.Unlock()
	for i := len(cleanups) - 1; i >= 0; i-- {
		cleanups[i]()
	}
	for _, p := range processes {
		p.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.folder)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.record.Close()
	r.record = nil
}

// sleepUntil waits until a time after the beginning.
func (r *run) sleepUntil(after time.Duration) { time.Sleep(time.Until(r.begun.Add(after))) }

// process is a process of the deployment.
type process struct {
	r    *run
	name string
	cmd  *exec.Cmd
	done chan struct{}
}

// start starts the program of a machine with its settings.
func (r *run) start(name, settings string) (*process, error) {
	file := filepath.Join(r.folder, name+".yaml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return nil, fmt.Errorf("write settings of %s: %w", name, err)
	}
	log, err := os.OpenFile(filepath.Join(r.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("open log of %s: %w", name, err)
	}
	p := &process{r: r, name: name, cmd: exec.Command(program, "join"), done: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), "FENNELYARD_SETTINGS="+file)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return nil, fmt.Errorf("start %s: the case has ended", name)
	}
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	r.processes = append(r.processes, p)
	go func() {
		defer close(p.done)
		_ = p.cmd.Wait()
		_ = log.Close()
	}()
	return p, nil
}

// ended reports whether the process has ended.
func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// kill ends the process with SIGKILL and waits for its end.
func (p *process) kill() {
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.done
}

// logLines returns the lines of a machine's log that contain a text.
func (r *run) logLines(name, text string) []string {
	f, err := os.Open(filepath.Join(r.folder, name+".log"))
	if err != nil {
		return nil
	}
	defer func() { _ = f.Close() }()
	var out []string
	for in := bufio.NewScanner(f); in.Scan(); {
		if strings.Contains(in.Text(), text) {
			out = append(out, in.Text())
		}
	}
	return out
}

// freePorts returns n ports that are free at all loopback addresses given.
func freePorts(n int, ips []string) ([]int, error) {
	var out []int
	for port := 21000 + os.Getpid()%20000; len(out) < n && port < 60000; port++ {
		if portFree(port, ips) {
			out = append(out, port)
		}
	}
	if len(out) < n {
		return nil, fmt.Errorf("find %d free ports", n)
	}
	return out, nil
}

func portFree(port int, ips []string) bool {
	for _, ip := range ips {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}
