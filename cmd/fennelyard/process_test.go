package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelyard"
	"fennelyard/internal/demo"
	"fennelyard/internal/operator"
	"fennelyard/internal/schema"
)

const (
	runAsProgramEnvVar = "FENNELYARD_TEST_PROGRAM"
	waitLimit          = 60 * time.Second
	testCustomer       = "quillen-ridge"
	testModel          = "planner-small"
	testService        = "booking-api"
)

// TestMain runs the test binary as the program itself if the environment variable is
// set, so that the tests run the program as it was built with them, or as a backend server.
func TestMain(m *testing.M) {
	if id := os.Getenv(runAsServerEnvVar); id != "" {
		runUnframedServer(id)
	}
	if os.Getenv(runAsProgramEnvVar) == "" {
		code := m.Run()
		removeBuiltProgram()
		os.Exit(code)
	}
	main()
}

// cluster is a deployment whose hosts and backend servers are processes.
type cluster struct {
	t              *testing.T
	layout         *demo.Layout
	operatorClient *operator.Client
	// maxLogBytes bounds what is printed of each process's log if the test fails; 0: all of it.
	maxLogBytes int

	mu sync.Mutex
	// processes maps a name to its latest process; guarded by mu in tests that start
	// processes from several goroutines.
	processes map[string]*process
}

// process returns the latest process of a name.
func (clus *cluster) process(name string) *process {
	clus.mu.Lock()
	defer clus.mu.Unlock()
	return clus.processes[name]
}

// process is a started process with its combined output.
type process struct {
	cmd  *exec.Cmd
	log  *syncBuffer
	done chan struct{}
}

// syncBuffer is a bytes.Buffer that is safe for concurrent use.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

func newCluster(t *testing.T, hosts, controls int) *cluster {
	t.Helper()
	layout, err := demo.NewLayout(hosts, controls, t.TempDir(), "entry:\n  directory-keep: 1s\n")
	require.NoError(t, err)
	clus := &cluster{t: t, layout: layout, processes: map[string]*process{}}
	t.Cleanup(clus.close)
	for _, h := range layout.Hosts() {
		clus.startHost(h.Name)
	}
	clus.operatorClient = operator.NewClient(layout.Hosts()[0].Operator)
	return clus
}

func (clus *cluster) start(name string, args ...string) {
	clus.t.Helper()
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), runAsProgramEnvVar+"=1")
	clus.startCommand(name, cmd)
}

func (clus *cluster) startCommand(name string, cmd *exec.Cmd) {
	clus.t.Helper()
	p := &process{cmd: cmd, log: &syncBuffer{}, done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	require.NoError(clus.t, p.cmd.Start())
	go func() {
		defer close(p.done)
		_ = p.cmd.Wait()
	}()
	clus.mu.Lock()
	defer clus.mu.Unlock()
	clus.processes[name] = p
}

func (clus *cluster) startHost(name string) {
	clus.t.Helper()
	file := filepath.Join(clus.t.TempDir(), name+".yaml")
	require.NoError(clus.t, os.WriteFile(file, []byte(clus.layout.YAML(name)), 0o600))
	clus.start(name, "serve", "--settings", file)
}

func (clus *cluster) startEngine(name string, args ...string) {
	clus.start(name, append([]string{
		"standin", "engine", "--name", name, "--entries", strings.Join(clus.layout.Backends(), ","),
		"--listen", "127.0.0.61:0",
	}, args...)...)
}

func (clus *cluster) startApplication(name string) {
	clus.start(name, "standin", "application", "--name", name, "--service", testService,
		"--entries", strings.Join(clus.layout.Backends(), ","), "--listen", "127.0.0.62:0")
}

func (clus *cluster) sendSignal(name string, s syscall.Signal) {
	clus.t.Helper()
	require.NoError(clus.t, clus.processes[name].cmd.Process.Signal(s))
}

// kill sends SIGKILL to a process and waits until it has exited.
func (clus *cluster) kill(name string) {
	clus.sendSignal(name, syscall.SIGKILL)
	<-clus.processes[name].done
}

func (clus *cluster) close() {
	for name, p := range clus.processes {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		<-p.done
		if clus.t.Failed() {
			log := p.log.String()
			if clus.maxLogBytes > 0 {
				log = log[max(0, len(log)-clus.maxLogBytes):]
			}
			clus.t.Logf("log of %s:\n%s", name, log)
		}
	}
}

// eventually waits until a condition is met and fails the test after waitLimit.
func (clus *cluster) eventually(what string, met func() bool) {
	clus.t.Helper()
	timeout := time.After(waitLimit)
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for !met() {
		select {
		case <-timeout:
			require.Fail(clus.t, "condition not met: "+what)
		case <-ticker.C:
		}
	}
}

// status returns the status of the deployment, or nil if it is unavailable or stale.
func (clus *cluster) status() *schema.StatusView {
	s, err := clus.operatorClient.Status(clus.t.Context())
	if err != nil || s.GetStale() != "" {
		return nil
	}
	return s
}

func (clus *cluster) awaitServers(n int) {
	clus.t.Helper()
	clus.eventually(fmt.Sprintf("%d servers", n), func() bool { return len(clus.status().GetServers()) == n })
}

// configure applies and confirms the intent of these tests and waits until all hosts
// have it.
func (clus *cluster) configure(replicas uint32) {
	clus.t.Helper()
	in := &schema.Intent{
		Name: "test", Customer: &schema.CustomerIntent{Name: testCustomer},
		Models:   []*schema.ModelIntent{{Name: testModel, Version: "1", MemoryMib: 8192, MaxReplicas: replicas}},
		Services: []*schema.ServiceIntent{{Name: testService}},
	}
	var plan uint64
	clus.eventually("a plan", func() bool {
		list, err := clus.operatorClient.Intents(clus.t.Context())
		if err != nil {
			return false
		}
		reply, err := clus.operatorClient.Apply(clus.t.Context(), &schema.IntentRequest{
			CommandId: "apply", Operator: "ann", BaseRevision: list.GetRevision(), Intent: in,
		})
		plan = reply.GetPlan().GetNumber()
		return err == nil && plan > 0
	})
	var revision uint64
	clus.eventually("the confirmation", func() bool {
		reply, err := clus.operatorClient.Decide(clus.t.Context(), plan, true, &schema.DecisionRequest{CommandId: "confirm", Operator: "ann"})
		revision = reply.GetRevision()
		return err == nil && reply.GetResult() == "ok"
	})
	for _, h := range clus.layout.Hosts() {
		clus.eventually("the configuration in force on "+h.Name, func() bool {
			s, err := operator.NewClient(h.Operator).Status(clus.t.Context())
			return err == nil && s.GetEntryRevision() >= revision
		})
	}
}

// client returns a client of some hosts by index, or of all hosts.
func (clus *cluster) client(hosts ...int) *fennelyard.Client {
	addresses := clus.layout.Callers()
	if len(hosts) > 0 {
		addresses = nil
		for _, i := range hosts {
			addresses = append(addresses, clus.layout.Hosts()[i].Caller)
		}
	}
	return fennelyard.NewClient(fennelyard.ClientOptions{Addresses: addresses, Customer: testCustomer, Deadline: waitLimit})
}

func (clus *cluster) requestCompletion(c *fennelyard.Client) error {
	response, err := c.Complete(clus.t.Context(), []byte(`{"model":"`+testModel+`"}`))
	if err != nil {
		return err
	}
	if !bytes.Contains(response.Body(), []byte(`"finish_reason":"stop"`)) {
		return fmt.Errorf("incomplete response: %s", response.Body())
	}
	return nil
}

// requestBooking sends a booking and returns how often the application ran it.
func (clus *cluster) requestBooking(ctx context.Context, c *fennelyard.Client, key string) (runs int, err error) {
	response, err := c.Do(ctx, fennelyard.Request{
		Method: http.MethodPost, Path: "/services/" + testService + "/book", Body: []byte(`{}`), Key: key,
	})
	if err != nil {
		return 0, err
	}
	var booked struct {
		Runs int `json:"runs"`
	}
	return booked.Runs, json.Unmarshal(response.Body(), &booked)
}

func (clus *cluster) leader() string {
	clus.t.Helper()
	leader := ""
	clus.eventually("a leader", func() bool {
		for _, h := range clus.status().GetHosts() {
			if h.GetControl() == "leader" {
				leader = h.GetName()
			}
		}
		return leader != ""
	})
	return leader
}

func (clus *cluster) removeData(host string) {
	clus.t.Helper()
	require.NoError(clus.t, os.RemoveAll(clus.layout.DataFolder(host)))
}

// rejoined reports whether a host votes again after the loss of its disk: the log since
// its restart shows that it found a leader, and the leader lists it as a voter.
func (clus *cluster) rejoined(host string) bool {
	for _, h := range clus.status().GetHosts() {
		if h.GetName() == host {
			return h.GetControl() == "voter" && strings.Contains(clus.processes[host].log.String(), "entry ready")
		}
	}
	return false
}

// useOperatorOtherThan sends further operator requests to a host other than the excluded
// one.
func (clus *cluster) useOperatorOtherThan(excluded string) {
	for _, h := range clus.layout.Hosts() {
		if h.Name != excluded {
			clus.operatorClient = operator.NewClient(h.Operator)
		}
	}
}

// runCommand executes a command line in this process.
func runCommand(args ...string) (code int, out, errOut string) {
	var o, e bytes.Buffer
	code = run(context.Background(), args, &o, io.MultiWriter(&e))
	return code, o.String(), e.String()
}
