package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The ports of all hosts, each of which has an IP address of its own.
const (
	peerPort      = 7180
	operatorPort  = 8144
	callerPort    = 8149
	readyPort     = 8141
	directoryPort = 8142
	metricsPort   = 9464
	serverPort    = 8080
)

const (
	controlHosts = 3
	entries      = 2
	servers      = 6
	// stopLimit is GraceS, after which the platform kills a process that it has stopped.
	stopLimit = 8 * time.Second
	// programFile is the program as the deploy file builds it.
	programFile = "target/fennelyard"
	// memoryMb is MemoryMb, with more of which the platform kills a process.
	memoryMb = 284
)

// deployment is a small deployment of real processes on loopback addresses.
type deployment struct {
	// trouble is false for a run without the disruption.
	trouble bool
	// noNotice is set if servers end without a notice, and full if they have rejected a request
	// before that.
	noNotice, full bool
	record         *record
	folder         string
	// network is the third number of the IP addresses.
	network int

	mu sync.Mutex
	// processes holds the running processes by name, and runs the name of the server that ran a
	// request last, by its ID; guarded by mu.
	processes map[string]*exec.Cmd
	runs      map[string]string
	closed    bool
}

func newDeployment(recordFile, trouble string) (*deployment, error) {
	if _, err := os.Stat(programFile); err != nil {
		return nil, fmt.Errorf("find the program: %w", err)
	}
	r, err := newRecord(recordFile)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "fennelyard-review-")
	if err != nil {
		return nil, fmt.Errorf("make folder: %w", err)
	}
	d := &deployment{trouble: trouble != "0", noNotice: trouble == "no-notice" || trouble == "full", full: trouble == "full", record: r, folder: folder, processes: map[string]*exec.Cmd{}, runs: map[string]string{}}
	if d.network, err = freeNetwork(); err != nil {
		d.close()
		return nil, err
	}
	r.add("trouble: %v", d.trouble)
	return d, nil
}

// freeNetwork returns the third number of IP addresses whose ports are free.
func freeNetwork() (int, error) {
	for offset := range 200 {
		network := 1 + (os.Getpid()+offset)%200
		if isFree(network) {
			return network, nil
		}
	}
	return 0, fmt.Errorf("no free addresses")
}

func isFree(network int) bool {
	for host := 1; host <= 40; host++ {
		for _, port := range []int{peerPort, operatorPort, callerPort, readyPort, directoryPort, metricsPort, serverPort} {
			l, err := net.Listen("tcp", fmt.Sprintf("127.91.%d.%d:%d", network, host, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (d *deployment) address(host, port int) string {
	return fmt.Sprintf("127.91.%d.%d:%d", d.network, host, port)
}

func (d *deployment) operatorAddress(control int) string { return d.address(1+control, operatorPort) }
func (d *deployment) callerAddress(entry int) string     { return d.address(11+entry, callerPort) }
func (d *deployment) readyAddress(entry int) string      { return d.address(11+entry, readyPort) }
func (d *deployment) directoryAddress(entry int) string  { return d.address(11+entry, directoryPort) }
func (d *deployment) serverAddress(server int) string    { return d.address(21+server, serverPort) }

func controlName(i int) string { return fmt.Sprintf("core-hall-a-%d", i+1) }
func entryName(i int) string   { return fmt.Sprintf("front-hall-a-%d", i+1) }

// settings returns the settings of a host as the template of the deploy file renders them.
func (d *deployment) settings(name string, host int, founding bool, listeners string) string {
	var seeds []string
	for i := range controlHosts {
		seeds = append(seeds, d.operatorAddress(i))
	}
	list, _ := json.Marshal(seeds)
	ip, _, _ := strings.Cut(d.address(host, 0), ":")
	return fmt.Sprintf("host: %q\ndata-centre: \"hall-a\"\nip: %q\npeer-port: %d\nmetrics-port: %d\nseeds: %s\nfounding: %v\n%s"+
		"memory-mb: %d\nannounce-every: 1200ms\nstop-limit: 8s\norder-lease: 3000ms\n"+
		"repeat-ratio: 0.2\nrepeat-window: 10s\nrepeat-slack: 54\nload-window: 5s\n",
		name, ip, peerPort, metricsPort, list, founding, listeners, memoryMb)
}

// startControl starts a control host. founding is Bootstrap of the platform's settings.
func (d *deployment) startControl(i int, founding bool) error {
	name := controlName(i)
	data := filepath.Join(d.folder, name)
	if err := os.MkdirAll(data, 0o755); err != nil {
		return fmt.Errorf("make data folder: %w", err)
	}
	return d.startHost(name, d.settings(name, 1+i, founding, fmt.Sprintf(
		"counted: true\ndata-folder: %q\noperator-address: %q\ndisk-mb: 128\n", data, d.operatorAddress(i))))
}

func (d *deployment) startEntry(i int, founding bool) error {
	name := entryName(i)
	return d.startHost(name, d.settings(name, 11+i, founding, fmt.Sprintf(
		"counted: false\ncaller-address: %q\nready-address: %q\ndirectory-address: %q\ndisk-mb: 0\n",
		d.callerAddress(i), d.readyAddress(i), d.directoryAddress(i))))
}

// startHost starts the command of the deploy file with a settings file.
func (d *deployment) startHost(name, settings string) error {
	file := filepath.Join(d.folder, name+".yaml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	log, err := os.OpenFile(filepath.Join(d.folder, name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	cmd := exec.Command(programFile, "join")
	cmd.Env = append(os.Environ(), "FENNELYARD_SETTINGS="+file)
	cmd.Stdout, cmd.Stderr = log, log
	defer func() { _ = log.Close() }()
	return d.start(name, cmd)
}

// startServer starts a stand-in of a backend server.
func (d *deployment) startServer(i int) error {
	settings := serverSettings{ID: fmt.Sprintf("i-%08x", 0x7f3a91c0+i), Address: d.serverAddress(i)}
	for c := range controlHosts {
		settings.Controls = append(settings.Controls, d.operatorAddress(c))
	}
	text, err := json.Marshal(settings)
	if err != nil {
		return fmt.Errorf("encode settings: %w", err)
	}
	file := filepath.Join(d.folder, fmt.Sprintf("server-%d.json", i))
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	self, err := os.Executable()
	if err != nil {
		return fmt.Errorf("find this program: %w", err)
	}
	cmd := exec.Command(self, "server", file)
	out, err := cmd.StdoutPipe()
	if err != nil {
		return fmt.Errorf("open pipe: %w", err)
	}
	go d.copyLines(serverName(i), out)
	return d.start(serverName(i), cmd)
}

func serverName(i int) string { return fmt.Sprintf("server-%d", i+1) }

// copyLines adds the lines of a stand-in to the record, and notes what it runs.
func (d *deployment) copyLines(name string, in io.Reader) {
	for lines := bufio.NewScanner(in); lines.Scan(); {
		d.record.add("%s: %s", name, lines.Text())
		if id, found := strings.CutPrefix(lines.Text(), runsPrefix); found {
			d.mu.Lock()
			d.runs[id] = name
			d.mu.Unlock()
		}
	}
}

// serverOf returns the name of the server that runs a request, empty for none.
func (d *deployment) serverOf(id string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.runs[id]
}

func (d *deployment) start(name string, cmd *exec.Cmd) error {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return fmt.Errorf("start %s: the case has ended", name)
	}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", name, err)
	}
	d.processes[name] = cmd
	return nil
}

// signal sends a signal to a process.
func (d *deployment) signal(name string, s syscall.Signal) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	cmd := d.processes[name]
	if cmd == nil {
		return fmt.Errorf("%s does not run", name)
	}
	d.record.add("platform: %v to %s", s, name)
	if err := cmd.Process.Signal(s); err != nil {
		return fmt.Errorf("signal %s: %w", name, err)
	}
	return nil
}

// kill ends a process at once and waits for its end.
func (d *deployment) kill(name string) error {
	if err := d.signal(name, syscall.SIGKILL); err != nil {
		return err
	}
	return d.await(name)
}

// await waits for the end of a process.
func (d *deployment) await(name string) error {
	d.mu.Lock()
	cmd := d.processes[name]
	delete(d.processes, name)
	d.mu.Unlock()
	if cmd == nil {
		return fmt.Errorf("%s does not run", name)
	}
	err := cmd.Wait()
	d.record.add("platform: %s has ended: %v", name, cmd.ProcessState)
	if cmd.ProcessState == nil {
		return fmt.Errorf("wait for %s: %w", name, err)
	}
	return nil
}

// close ends all processes.
func (d *deployment) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return
	}
	d.closed = true
	for _, cmd := range d.processes {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(d.folder)
	} else {
		d.record.add("logs: kept")
		fmt.Fprintln(os.Stderr, d.folder)
	}
	d.record.close()
}
