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
	hostCount   = 3
	engineCount = 4
	customer    = "quillen-ridge"
	model       = "planner-small"
	service     = "booking-api"
	startWait   = 15 * time.Second
	pollEvery   = 20 * time.Millisecond
	extra       = `entry:
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
	// Harmful shows, in place of the rest, a request that ends the servers that run it.
	Harmful bool
}

// step is one thing that the demo shows. It returns what came of it.
type step struct {
	name string
	do   func(context.Context) (string, error)
}

type deployment struct {
	cfg     Config
	layout  *Layout
	hosts   []*host.Host
	engines []*standin.Engine
	app     *standin.Application
	weights *standin.WeightStore
	client  *fennelyard.Client
	oper    *operator.Client
	plan    uint64
	// ended counts the application servers that ended under the harmful booking.
	ended atomic.Int64
}

// Run starts a deployment in this process, goes through its steps and returns
// an error when one of them did not hold.
func Run(ctx context.Context, cfg Config) error {
	folder, err := os.MkdirTemp("", "fennelyard-demo-")
	if err != nil {
		return errors.Newf("make data folder: %w", err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	layout, err := NewLayout(hostCount, hostCount, folder, extra)
	if err != nil {
		return err
	}
	d := &deployment{cfg: cfg, layout: layout}
	defer d.close()
	steps := []step{
		{"three hosts form a control group", d.startHosts},
		{"four engines and an application server announce themselves", d.startBackends},
		{"an intent that cannot hold is refused", d.refusedIntent},
		{"an intent is answered by a plan", d.applyIntent},
		{"the plan is confirmed", d.confirm},
	}
	if cfg.Harmful {
		h := &harmful{deployment: d}
		defer h.close()
		steps = append(steps, h.steps()...)
	} else {
		steps = append(steps, []step{
			{"a cold model answers its first caller", d.answer},
			{"a warm model answers", d.answer},
			{"a booking that is sent twice runs once", d.booking},
			{"a planned stop of a host cuts nothing off", d.plannedStop},
			{"the remaining hosts answer", d.answer},
		}...)
	}
	for _, s := range steps {
		began := time.Now()
		what, err := s.do(ctx)
		took := time.Since(began).Round(time.Millisecond)
		if err != nil {
			_, _ = fmt.Fprintf(cfg.Out, "FAILED %8s  %s: %v\n", took, s.name, err)
			return errors.Newf("%s: %w", s.name, err)
		}
		_, _ = fmt.Fprintf(cfg.Out, "ok     %8s  %s: %s\n", took, s.name, what)
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
	d.oper = operator.NewClient(d.layout.Hosts()[1].Operator)
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
	return leader + " leads", err
}

func (d *deployment) startBackends(ctx context.Context) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.31:0")
	if err != nil {
		return "", errors.Newf("listen: %w", err)
	}
	d.weights = standin.NewWeightStore(standin.WeightStoreConfig{Listener: l, LoadsPerSecond: 3, FullSpeed: 4, MiBPerSecond: 8192})
	for i := range engineCount {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.%d:0", 41+i))
		if err != nil {
			return "", errors.Newf("listen: %w", err)
		}
		d.engines = append(d.engines, standin.NewEngine(standin.EngineConfig{
			Listener: l, Name: fmt.Sprintf("engine-%d", i+1), DataCentre: d.layout.Hosts()[i%hostCount].DataCentre,
			Entries: d.layout.Backends(), AcceleratorMiB: []uint64{24576, 24576}, ChecksFencing: i%2 == 0,
			WeightStore: d.weights.Address(), DiskMiBPerSecond: 32768, TokenTime: 5 * time.Millisecond,
		}))
	}
	l, err = net.Listen("tcp", "127.0.0.51:0")
	if err != nil {
		return "", errors.Newf("listen: %w", err)
	}
	d.app = standin.NewApplication(standin.ApplicationConfig{
		Listener: l, Name: "booking-1", DataCentre: "hall-a", Service: service, Entries: d.layout.Backends(),
		RequestTime: 20 * time.Millisecond, CrashBody: harmfulBody, Crashed: func() { d.ended.Add(1) },
	})
	err = poll(ctx, func() bool {
		s, err := d.oper.Status(ctx)
		return err == nil && len(s.GetServers()) == engineCount+1
	})
	return fmt.Sprintf("%d servers known", engineCount+1), err
}

func (d *deployment) intent() *schema.Intent {
	return &schema.Intent{
		Name: "autumn", Customer: &schema.CustomerIntent{Name: customer},
		Models:   []*schema.ModelIntent{{Name: model, Version: "1", MemoryMib: 8192, MaxReplicas: 2}},
		Services: []*schema.ServiceIntent{{Name: service}},
	}
}

func (d *deployment) apply(ctx context.Context, id string, in *schema.Intent) (*schema.OperatorReply, error) {
	list, err := d.oper.Intents(ctx)
	if err != nil {
		return nil, err
	}
	return d.oper.Apply(ctx, &schema.IntentRequest{
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
		return "", errors.Newf("the result is %s", reply.GetResult())
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
	d.plan = reply.GetPlan().GetNumber()
	line := reply.GetPlan().GetLines()[0]
	return fmt.Sprintf("plan %d: %s %s, %d to %d replicas of %d MiB, cold start in %d ms, %.1f idle accelerator hours a day",
		d.plan, line.GetChange(), line.GetTarget(), line.GetMinReplicas(), line.GetMaxReplicas(), line.GetMemoryMib(),
		line.GetColdStartMs(), line.GetIdleAcceleratorHoursPerDay()), nil
}

func (d *deployment) confirm(ctx context.Context) (string, error) {
	reply, err := d.oper.Decide(ctx, d.plan, true, &schema.DecisionRequest{CommandId: "demo-2", Operator: "demo"})
	if err != nil {
		return "", err
	}
	if reply.GetResult() != "ok" {
		return "", errors.Newf("%s: %s", reply.GetResult(), reply.GetReason())
	}
	err = poll(ctx, func() bool {
		list, err := d.oper.Status(ctx)
		return err == nil && list.GetEntryRevision() >= reply.GetRevision()
	})
	return fmt.Sprintf("in force at revision %d", reply.GetRevision()), err
}

func (d *deployment) answer(ctx context.Context) (string, error) {
	answer, err := d.client.Complete(ctx, []byte(`{"model":"`+model+`","messages":[]}`))
	if err != nil {
		return "", err
	}
	var whole struct {
		Server  string `json:"server"`
		Choices []struct {
			FinishReason string `json:"finish_reason"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(answer.Body(), &whole); err != nil || len(whole.Choices) != 1 || whole.Choices[0].FinishReason != "stop" {
		return "", errors.Newf("not a whole answer: %s", answer.Body())
	}
	return "whole answer of " + whole.Server, nil
}

func (d *deployment) booking(ctx context.Context) (string, error) {
	key := fennelyard.NewKey()
	for i := range 2 {
		answer, err := d.client.Do(ctx, fennelyard.Request{
			Method: http.MethodPost, Path: "/services/" + service + "/book", Body: []byte(`{"rider":7}`), Key: key,
		})
		if err != nil {
			return "", err
		}
		if answer.Replayed() != (i == 1) {
			return "", errors.Newf("answer %d: replayed is %t", i+1, answer.Replayed())
		}
	}
	if n := d.app.Runs().Count(key); n != 1 {
		return "", errors.Newf("it ran %d times", n)
	}
	return "one run, the kept answer for the second", nil
}

// plannedStop stops the leader's host while requests are under way.
func (d *deployment) plannedStop(ctx context.Context) (string, error) {
	at := 0
	for i, h := range d.hosts {
		if h.IsLeader() {
			at = i
		}
	}
	direct := fennelyard.NewClient(fennelyard.ClientOptions{Addresses: []string{d.layout.Hosts()[at].Caller}, Customer: customer})
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
	drain, cancel := context.WithTimeout(ctx, startWait)
	defer cancel()
	d.hosts[at].Drain(drain)
	close(stop)
	if err := <-failed; err != nil {
		return "", err
	}
	left := d.layout.Hosts()[(at+1)%hostCount]
	d.oper = operator.NewClient(left.Operator)
	d.client = fennelyard.NewClient(fennelyard.ClientOptions{Addresses: []string{left.Caller}, Customer: customer})
	return d.layout.Hosts()[at].Name + " stopped, it led", poll(ctx, func() bool {
		s, err := d.oper.Status(ctx)
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
	if d.weights != nil {
		d.weights.Close()
	}
	for _, h := range d.hosts {
		h.Close()
	}
}

// poll waits until a condition holds.
func poll(ctx context.Context, holds func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, startWait)
	defer cancel()
	ticker := time.NewTicker(pollEvery)
	defer ticker.Stop()
	for !holds() {
		select {
		case <-ctx.Done():
			return errors.New("it did not come to pass in time")
		case <-ticker.C:
		}
	}
	return nil
}
