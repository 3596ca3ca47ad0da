package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"fennelyard"
	"fennelyard/internal/host"
	"fennelyard/internal/operator"
	"fennelyard/internal/schema"
	"fennelyard/internal/settings"
	"fennelyard/internal/standin"
)

const (
	hostCount     = 3
	engineCount   = 4
	customer      = "quillen-ridge"
	model         = "planner-small"
	service       = "booking-api"
	stepTimeout   = 15 * time.Second
	pollInterval  = 20 * time.Millisecond
	extraSettings = `entry:
  directory-keep: 1s
weight-store:
  loads-per-second: 3
  full-speed-loads: 4
  remote-mib-per-second: 8192
`
)

// Config configures Run. Out is required.
type Config struct {
	// Out receives one line per step.
	Out io.Writer
	Log logr.Logger
	// CrashingRequest selects, in place of the other steps, the demo of a request that crashes
	// the servers that run it.
	CrashingRequest bool
}

// step is one step of the demo. run returns a description of its result.
type step struct {
	name string
	run  func(context.Context) (string, error)
}

// deployment is the deployment of the demo and the state between its steps.
type deployment struct {
	cfg         Config
	layout      *Layout
	hosts       []*host.Host
	engines     []*standin.Engine
	app         *standin.Application
	weightStore *standin.WeightStore
	client      *fennelyard.Client
	operator    *operator.Client
	planNumber  uint64
	// crashed counts the application servers that the booking with crashBody has crashed.
	crashed atomic.Int64
}

// Run starts a deployment in this process, runs the steps of the demo and returns an error
// when one of them fails.
func Run(ctx context.Context, cfg Config) error {
	folder, err := os.MkdirTemp("", "fennelyard-demo-")
	if err != nil {
		return errors.Newf("make data folder: %w", err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	layout, err := NewLayout(hostCount, hostCount, folder, extraSettings)
	if err != nil {
		return err
	}
	d := &deployment{cfg: cfg, layout: layout}
	defer d.close()
	steps := []step{
		{"three hosts form a control group", d.startHosts},
		{"four engines and an application server announce themselves", d.startBackends},
		{"an intent that cannot be satisfied is refused", d.refusedIntent},
		{"an intent produces a plan", d.applyIntent},
		{"the plan is confirmed", d.confirm},
	}
	if cfg.CrashingRequest {
		h := &heldBackDemo{deployment: d}
		defer h.close()
		steps = append(steps, h.steps()...)
	} else {
		steps = append(steps, []step{
			{"a model that is not loaded serves its first request", d.complete},
			{"a loaded model serves a request", d.complete},
			{"a booking that is sent twice runs once", d.booking},
			{"a planned stop of a host interrupts no request", d.plannedStop},
			{"the remaining hosts serve a request", d.complete},
		}...)
	}
	for _, s := range steps {
		began := time.Now()
		result, err := s.run(ctx)
		took := time.Since(began).Round(time.Millisecond)
		if err != nil {
			_, _ = fmt.Fprintf(cfg.Out, "FAILED %8s  %s: %v\n", took, s.name, err)
			return errors.Newf("%s: %w", s.name, err)
		}
		_, _ = fmt.Fprintf(cfg.Out, "ok     %8s  %s: %s\n", took, s.name, result)
	}
	return nil
}

func (d *deployment) startHosts(ctx context.Context) (string, error) {
	for _, h := range d.layout.Hosts() {
		s, err := settings.Parse(h.Name+".yaml", []byte(d.layout.YAML(h.Name)))
		if err != nil {
			return "", err
		}
		running, err := host.New(host.Config{Settings: s, Log: d.cfg.Log.WithValues("host", h.Name)})
		if err != nil {
			return "", err
		}
		d.hosts = append(d.hosts, running)
	}
	d.client = fennelyard.NewClient(fennelyard.ClientOptions{Addresses: d.layout.Callers(), Customer: customer, DataCentre: "hall-a"})
	d.operator = operator.NewClient(d.layout.Hosts()[1].Operator)
	err := poll(ctx, func() bool {
		for _, h := range d.hosts {
			if !h.Ready() {
				return false
			}
		}
		return true
	})
	leader := ""
	for i, h := range d.hosts {
		if h.IsLeader() {
			leader = d.layout.Hosts()[i].Name
		}
	}
	return leader + " is the leader", err
}

func (d *deployment) startBackends(ctx context.Context) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.31:0")
	if err != nil {
		return "", errors.Newf("listen: %w", err)
	}
	d.weightStore = standin.NewWeightStore(standin.WeightStoreConfig{Listener: l, LoadsPerSecond: 3, FullSpeedLoads: 4, MiBPerSecond: 8192})
	for i := range engineCount {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.%d:0", 41+i))
		if err != nil {
			return "", errors.Newf("listen: %w", err)
		}
		d.engines = append(d.engines, standin.NewEngine(standin.EngineConfig{
			Listener: l, Name: fmt.Sprintf("engine-%d", i+1), DataCentre: d.layout.Hosts()[i%hostCount].DataCentre,
			Entries: d.layout.Backends(), AcceleratorMiB: []uint64{24576, 24576}, ChecksFencing: i%2 == 0,
			WeightStore: d.weightStore.Address(), DiskMiBPerSecond: 32768, TokenTime: 5 * time.Millisecond,
		}))
	}
	l, err = net.Listen("tcp", "127.0.0.51:0")
	if err != nil {
		return "", errors.Newf("listen: %w", err)
	}
	d.app = standin.NewApplication(standin.ApplicationConfig{
		Listener: l, Name: "booking-1", DataCentre: "hall-a", Service: service, Entries: d.layout.Backends(),
		RequestTime: 20 * time.Millisecond, CrashBody: crashBody, Crashed: func() { d.crashed.Add(1) },
	})
	err = poll(ctx, func() bool {
		s, err := d.operator.Status(ctx)
		return err == nil && len(s.GetServers()) == engineCount+1
	})
	return fmt.Sprintf("%d servers known", engineCount+1), err
}

// intent returns the intent with the demo's model and service.
func (d *deployment) intent() *schema.Intent {
	return &schema.Intent{
		Name: "autumn", Customer: &schema.CustomerIntent{Name: customer},
		Models:   []*schema.ModelIntent{{Name: model, Version: "1", MemoryMib: 8192, MaxReplicas: 2}},
		Services: []*schema.ServiceIntent{{Name: service}},
	}
}

func (d *deployment) apply(ctx context.Context, id string, in *schema.Intent) (*schema.OperatorReply, error) {
	list, err := d.operator.Intents(ctx)
	if err != nil {
		return nil, err
	}
	return d.operator.Apply(ctx, &schema.IntentRequest{
		CommandId: id, Operator: "demo", BaseRevision: list.GetRevision(), Intent: in,
	})
}

func (d *deployment) refusedIntent(ctx context.Context) (string, error) {
	in := d.intent()
	in.Models[0].MemoryMib = 90000
	reply, err := d.apply(ctx, "demo-0", in)
	if err != nil {
		return "", err
	}
	if reply.GetResult() != "invalid" {
		return "", errors.Newf("result is %s, want invalid", reply.GetResult())
	}
	return reply.GetReason(), nil
}

func (d *deployment) applyIntent(ctx context.Context) (string, error) {
	reply, err := d.apply(ctx, "demo-1", d.intent())
	if err != nil {
		return "", err
	}
	if reply.GetPlan() == nil {
		return "", errors.Newf("no plan: %s", reply.GetReason())
	}
	d.planNumber = reply.GetPlan().GetNumber()
	line := reply.GetPlan().GetLines()[0]
	return fmt.Sprintf("plan %d: %s %s, %d to %d replicas of %d MiB, cold start in %d ms, %.1f idle accelerator hours a day",
		d.planNumber, line.GetChange(), line.GetTarget(), line.GetMinReplicas(), line.GetMaxReplicas(), line.GetMemoryMib(),
		line.GetColdStartMs(), line.GetIdleAcceleratorHoursPerDay()), nil
}

func (d *deployment) confirm(ctx context.Context) (string, error) {
	reply, err := d.operator.Decide(ctx, d.planNumber, true, &schema.DecisionRequest{CommandId: "demo-2", Operator: "demo"})
	if err != nil {
		return "", err
	}
	if reply.GetResult() != "ok" {
		return "", errors.Newf("%s: %s", reply.GetResult(), reply.GetReason())
	}
	err = poll(ctx, func() bool {
		list, err := d.operator.Status(ctx)
		return err == nil && list.GetEntryRevision() >= reply.GetRevision()
	})
	return fmt.Sprintf("in force at revision %d", reply.GetRevision()), err
}

func (d *deployment) complete(ctx context.Context) (string, error) {
	response, err := d.client.Complete(ctx, []byte(`{"model":"`+model+`","messages":[]}`))
	if err != nil {
		return "", err
	}
	var completion struct {
		Server  string `json:"server"`
		Choices []struct {
			FinishReason string `json:"finish_reason"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(response.Body(), &completion); err != nil || len(completion.Choices) != 1 || completion.Choices[0].FinishReason != "stop" {
		return "", errors.Newf("incomplete response: %s", response.Body())
	}
	return "complete response from " + completion.Server, nil
}

func (d *deployment) booking(ctx context.Context) (string, error) {
	key := fennelyard.NewKey()
	for i := range 2 {
		response, err := d.client.Do(ctx, fennelyard.Request{
			Method: http.MethodPost, Path: "/services/" + service + "/book", Body: []byte(`{"rider":7}`), Key: key,
		})
		if err != nil {
			return "", err
		}
		if response.Replayed() != (i == 1) {
			return "", errors.Newf("response %d: replayed is %t", i+1, response.Replayed())
		}
	}
	if n := d.app.Runs().Count(key); n != 1 {
		return "", errors.Newf("the booking ran %d times, want once", n)
	}
	return "one run, the stored response for the second", nil
}

// plannedStop drains the leader's host while requests are sent to it.
func (d *deployment) plannedStop(ctx context.Context) (string, error) {
	leader := 0
	for i, h := range d.hosts {
		if h.IsLeader() {
			leader = i
		}
	}
	direct := fennelyard.NewClient(fennelyard.ClientOptions{Addresses: []string{d.layout.Hosts()[leader].Caller}, Customer: customer})
	failed := make(chan error, 1)
	stop := make(chan struct{})
	go func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				failed <- nil
				return
			default:
			}
			if _, err := direct.Complete(ctx, []byte(`{"model":"`+model+`"}`)); err != nil {
				failed <- errors.Newf("request %d: %w", n, err)
				return
			}
		}
	}()
	drain, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	d.hosts[leader].Drain(drain)
	close(stop)
	if err := <-failed; err != nil {
		return "", err
	}
	remaining := d.layout.Hosts()[(leader+1)%hostCount]
	d.operator = operator.NewClient(remaining.Operator)
	d.client = fennelyard.NewClient(fennelyard.ClientOptions{Addresses: []string{remaining.Caller}, Customer: customer})
	return d.layout.Hosts()[leader].Name + " stopped; it was the leader", poll(ctx, func() bool {
		s, err := d.operator.Status(ctx)
		return err == nil && s.GetStale() == ""
	})
}

func (d *deployment) close() {
	for _, e := range d.engines {
		e.Close()
	}
	if d.app != nil {
		d.app.Close()
	}
	if d.weightStore != nil {
		d.weightStore.Close()
	}
	for _, h := range d.hosts {
		h.Close()
	}
}

// poll waits until a condition holds, for at most stepTimeout.
func poll(ctx context.Context, condition func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ctx.Done():
			return errors.New("timed out waiting for the expected state")
		case <-ticker.C:
		}
	}
	return nil
}
