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
	runAsProgram = "FENNELYARD_TEST_PROGRAM"
	patience     = 60 * time.Second
	testCustomer = "quillen-ridge"
	testModel    = "planner-small"
	testService  = "booking-api"
)

// TestMain lets the test binary be the program itself, so that the tests run
// what was built with them.
func TestMain(m *testing.M) {
	if os.Getenv(runAsProgram) == "" {
		os.Exit(m.Run())
	}
	main()
}

// fleet is a deployment of real processes.
type fleet struct {
	t      *testing.T
	layout *demo.Layout
	oper   *operator.Client

	mu sync.Mutex
	// processes holds the latest process under a name; guarded by mu where tests
	// start processes from several goroutines.
	processes map[string]*process
}

// process returns the latest process under a name.
func (f *fleet) process(name string) *process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.processes[name]
}

type process struct {
	cmd  *exec.Cmd
	log  *lockedBuffer
	done chan struct{}
}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

func newFleet(t *testing.T, hosts, controls int) *fleet {
	t.Helper()
	layout, err := demo.NewLayout(hosts, controls, t.TempDir(), "entry:\n  directory-keep: 1s\n")
	require.NoError(t, err)
	f := &fleet{t: t, layout: layout, processes: map[string]*process{}}
	t.Cleanup(f.close)
	for _, h := range layout.Hosts() {
		f.startHost(h.Name)
	}
	f.oper = operator.NewClient(layout.Hosts()[0].Operator)
	return f
}

func (f *fleet) start(name string, args ...string) {
	f.t.Helper()
	p := &process{cmd: exec.Command(os.Args[0], args...), log: &lockedBuffer{}, done: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), runAsProgram+"=1")
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	require.NoError(f.t, p.cmd.Start())
	go func() {
		defer close(p.done)
		_ = p.cmd.Wait()
	}()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.processes[name] = p
}

func (f *fleet) startHost(name string) {
	f.t.Helper()
	file := filepath.Join(f.t.TempDir(), name+".yaml")
	require.NoError(f.t, os.WriteFile(file, []byte(f.layout.YAML(name)), 0o600))
	f.start(name, "serve", "--settings", file)
}

func (f *fleet) startEngine(name string, args ...string) {
	f.start(name, append([]string{
		"standin", "engine", "--name", name, "--entries", strings.Join(f.layout.Backends(), ","),
		"--listen", "127.0.0.61:0",
	}, args...)...)
}

func (f *fleet) startApplication(name string) {
	f.start(name, "standin", "application", "--name", name, "--service", testService,
		"--entries", strings.Join(f.layout.Backends(), ","), "--listen", "127.0.0.62:0")
}

func (f *fleet) signal(name string, s syscall.Signal) {
	f.t.Helper()
	require.NoError(f.t, f.processes[name].cmd.Process.Signal(s))
}

// kill ends a process at once and waits for its end.
func (f *fleet) kill(name string) {
	f.signal(name, syscall.SIGKILL)
	<-f.processes[name].done
}

func (f *fleet) close() {
	for name, p := range f.processes {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		<-p.done
		if f.t.Failed() {
			f.t.Logf("log of %s:\n%s", name, p.log)
		}
	}
}

func (f *fleet) eventually(what string, holds func() bool) {
	f.t.Helper()
	limit := time.After(patience)
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for !holds() {
		select {
		case <-limit:
			require.Fail(f.t, "did not come to pass: "+what)
		case <-ticker.C:
		}
	}
}

func (f *fleet) status() *schema.StatusView {
	s, err := f.oper.Status(f.t.Context())
	if err != nil || s.GetStale() != "" {
		return nil
	}
	return s
}

func (f *fleet) awaitServers(n int) {
	f.t.Helper()
	f.eventually(fmt.Sprintf("%d servers", n), func() bool { return len(f.status().GetServers()) == n })
}

// configure applies and confirms the intent of these tests.
func (f *fleet) configure(replicas uint32) {
	f.t.Helper()
	in := &schema.Intent{
		Name: "test", Customer: &schema.CustomerIntent{Name: testCustomer},
		Models:   []*schema.ModelIntent{{Name: testModel, Version: "1", MemoryMib: 8192, MaxReplicas: replicas}},
		Services: []*schema.ServiceIntent{{Name: testService}},
	}
	var plan uint64
	f.eventually("a plan", func() bool {
		list, err := f.oper.Intents(f.t.Context())
		if err != nil {
			return false
		}
		reply, err := f.oper.Apply(f.t.Context(), &schema.IntentRequest{
			CommandId: "apply", Operator: "ann", BaseRevision: list.GetRevision(), Intent: in,
		})
		plan = reply.GetPlan().GetNumber()
		return err == nil && plan > 0
	})
	var revision uint64
	f.eventually("the confirmation", func() bool {
		reply, err := f.oper.Decide(f.t.Context(), plan, true, &schema.DecisionRequest{CommandId: "confirm", Operator: "ann"})
		revision = reply.GetRevision()
		return err == nil && reply.GetResult() == "ok"
	})
	for _, h := range f.layout.Hosts() {
		f.eventually("the configuration in force on "+h.Name, func() bool {
			s, err := operator.NewClient(h.Operator).Status(f.t.Context())
			return err == nil && s.GetEntryRevision() >= revision
		})
	}
}

func (f *fleet) client(hosts ...int) *fennelyard.Client {
	addresses := f.layout.Callers()
	if len(hosts) > 0 {
		addresses = nil
		for _, i := range hosts {
			addresses = append(addresses, f.layout.Hosts()[i].Caller)
		}
	}
	return fennelyard.NewClient(fennelyard.ClientOptions{Addresses: addresses, Customer: testCustomer, Deadline: patience})
}

func (f *fleet) complete(c *fennelyard.Client) error {
	answer, err := c.Complete(f.t.Context(), []byte(`{"model":"`+testModel+`"}`))
	if err != nil {
		return err
	}
	if !bytes.Contains(answer.Body(), []byte(`"finish_reason":"stop"`)) {
		return fmt.Errorf("not whole: %s", answer.Body())
	}
	return nil
}

func (f *fleet) book(ctx context.Context, c *fennelyard.Client, key string) (runs int, err error) {
	answer, err := c.Do(ctx, fennelyard.Request{
		Method: http.MethodPost, Path: "/services/" + testService + "/book", Body: []byte(`{}`), Key: key,
	})
	if err != nil {
		return 0, err
	}
	var booked struct {
		Runs int `json:"runs"`
	}
	return booked.Runs, json.Unmarshal(answer.Body(), &booked)
}

func (f *fleet) leader() string {
	f.t.Helper()
	leader := ""
	f.eventually("a leader", func() bool {
		for _, h := range f.status().GetHosts() {
			if h.GetControl() == "leader" {
				leader = h.GetName()
			}
		}
		return leader != ""
	})
	return leader
}

func (f *fleet) removeData(host string) {
	f.t.Helper()
	require.NoError(f.t, os.RemoveAll(f.layout.DataFolder(host)))
}

// rejoined reports whether a host's log says that it votes under its new disk:
// it heard of a leader after its restart and the leader lists it as a voter.
func (f *fleet) rejoined(host string) bool {
	for _, h := range f.status().GetHosts() {
		if h.GetName() == host {
			return h.GetControl() == "voter" && strings.Contains(f.processes[host].log.String(), "entry ready")
		}
	}
	return false
}

// operateFrom moves the operator to another host.
func (f *fleet) operateFrom(not string) {
	for _, h := range f.layout.Hosts() {
		if h.Name != not {
			f.oper = operator.NewClient(h.Operator)
		}
	}
}

// command runs a command line in this process.
func command(args ...string) (code int, out, errOut string) {
	var o, e bytes.Buffer
	code = run(context.Background(), args, &o, io.MultiWriter(&e))
	return code, o.String(), e.String()
}
