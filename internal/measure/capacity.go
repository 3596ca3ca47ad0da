package measure

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"math/rand"
	"runtime"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"fennelyard/internal/backend"
	"fennelyard/internal/ledger"
	"fennelyard/internal/membership"
	"fennelyard/internal/placement"
	"fennelyard/internal/schema"
)

// measurement measures a value at several sizes.
type measurement struct {
	slope   Slope
	sizes   []int
	measure func(size int) (float64, error)
}

// Capacity runs all measurements and returns their slopes. It calls step before each
// measurement.
func Capacity(step func(name string)) ([]Slope, error) {
	var out []Slope
	for _, m := range measurements() {
		step(m.slope.name)
		for _, size := range m.sizes {
			y, err := m.measure(size)
			if err != nil {
				return nil, errors.Newf("measure %s at size %d: %w", m.slope.name, size, err)
			}
			m.slope.xs = append(m.slope.xs, float64(size))
			m.slope.ys = append(m.slope.ys, y)
		}
		out = append(out, m.slope.fit())
	}
	return out, nil
}

func measurements() []measurement {
	records := []int{1000, 4000, 8000, 15000}
	hosts := []int{8, 16, 32, 64, 128}
	return []measurement{
		{Slope{name: "ledger heap", xUnit: "model or adapter", yUnit: "B", component: "ledger"}, records, ledgerHeapBytes},
		{Slope{name: "replica heap", xUnit: "model or adapter", yUnit: "B", component: "ledger.Replica"}, records, replicaHeapBytes},
		{Slope{name: "whole state on the wire", xUnit: "model or adapter", yUnit: "B", component: "watch"}, records, fullStateBytes},
		{Slope{name: "whole state, compressed", xUnit: "model or adapter", yUnit: "B", component: "watch"}, records, fullStateCompressedBytes},
		{Slope{name: "taking the whole state", xUnit: "model or adapter", yUnit: "µs", component: "ledger.Replica"}, records, replicaApplyTime},
		{Slope{name: "one change on the wire", xUnit: "change", yUnit: "B", component: "watch"}, []int{1, 4, 16, 64}, changeBytes},
		{Slope{name: "one change taken by an entry", xUnit: "change", yUnit: "µs", component: "watch"}, []int{100, 400, 1600}, changeTime},
		{Slope{name: "one claim in the state", xUnit: "claim", yUnit: "B", component: "ledger claims"}, []int{1000, 4000, 16000}, claimHeapBytes},
		{Slope{name: "one claim applied", xUnit: "claim", yUnit: "µs", component: "ledger claims"}, []int{1000, 4000, 16000}, claimTime},
		{Slope{name: "heartbeat bytes sent by a host", xUnit: "host", yUnit: "B/s", component: "membership"}, hosts, heartbeatBytes},
		{Slope{name: "heartbeat processor time of a host", xUnit: "host", yUnit: "µs/s", component: "membership"}, hosts, heartbeatTime},
		{Slope{name: "quiet report of an entry", xUnit: "server", yUnit: "B", component: "report"}, []int{5, 20, 80, 320}, unchangedReportBytes},
		{Slope{name: "full announcement", xUnit: "cached checkpoint", yUnit: "B", component: "report"}, []int{1, 10, 100}, announcementBytes},
		{Slope{name: "decision, by servers", xUnit: "server", yUnit: "µs", component: "placement"}, []int{100, 300, 600, 1200}, decisionByServers},
		{Slope{name: "decision, by waiting models", xUnit: "waiting model", yUnit: "µs", component: "placement"}, []int{1, 5, 20, 50}, decisionByDemands},
	}
}

// maxBaseModels is the number of models in a filled ledger; further targets are adapters.
const maxBaseModels = 100

// newFilledLedger returns a ledger with a number of configured models and adapters.
func newFilledLedger(size int) (*ledger.Ledger, error) {
	l := ledger.New()
	in := &schema.Intent{Name: "full", Customer: &schema.CustomerIntent{Name: "customer"}}
	for i := range min(size, maxBaseModels) {
		in.Models = append(in.Models, &schema.ModelIntent{
			Name: fmt.Sprintf("model-%03d", i), Version: "1", MemoryMib: 16384, MaxReplicas: 4,
		})
	}
	for i := range max(size-maxBaseModels, 0) {
		in.Adapters = append(in.Adapters, &schema.AdapterIntent{
			Name: fmt.Sprintf("adapter-%05d", i), Base: fmt.Sprintf("model-%03d", i%maxBaseModels),
			Version: "1", MemoryMib: 128, MaxReplicas: 2,
		})
	}
	r, err := applyCommand(l, 1, &schema.Command{Id: "1", Body: &schema.Command_ApplyIntent{ApplyIntent: &schema.ApplyIntent{Intent: in}}})
	if err != nil {
		return nil, err
	}
	_, err = applyCommand(l, 2, &schema.Command{Id: "2", Body: &schema.Command_DecidePlan{
		DecidePlan: &schema.DecidePlan{Plan: r.GetPlan().GetNumber(), Confirm: true},
	}})
	return l, err
}

func applyCommand(l *ledger.Ledger, index uint64, cmd *schema.Command) (*schema.Result, error) {
	data, err := proto.Marshal(cmd)
	if err != nil {
		return nil, errors.Newf("encode command: %w", err)
	}
	r := l.Apply(index, data).(*schema.Result)
	if r.GetCode() != schema.ResultCode_RESULT_CODE_OK {
		return nil, errors.Newf("command %d: %s", index, r.GetReason())
	}
	return r, nil
}

func ledgerHeapBytes(size int) (float64, error) {
	before := heapBytes()
	l, err := newFilledLedger(size)
	if err != nil {
		return 0, err
	}
	used := heapBytes() - before
	runtime.KeepAlive(l)
	return used, nil
}

// fullState returns the changes that an entry without any state receives: the whole ledger
// except the plans.
func fullState(size int) (*schema.Changes, error) {
	l, err := newFilledLedger(size)
	if err != nil {
		return nil, err
	}
	all := l.Since(0)
	changes := &schema.Changes{Revision: all.GetRevision(), Whole: true}
	for _, rec := range all.GetRecords() {
		if rec.GetPlan() == nil {
			changes.Records = append(changes.Records, rec)
		}
	}
	return changes, nil
}

func encodedFullState(size int) ([]byte, error) {
	changes, err := fullState(size)
	if err != nil {
		return nil, err
	}
	data, err := proto.Marshal(changes)
	if err != nil {
		return nil, errors.Newf("encode state: %w", err)
	}
	return data, nil
}

func replicaHeapBytes(size int) (float64, error) {
	data, err := encodedFullState(size)
	if err != nil {
		return 0, err
	}
	before := heapBytes()
	decoded := &schema.Changes{}
	if err := proto.Unmarshal(data, decoded); err != nil {
		return 0, errors.Newf("decode state: %w", err)
	}
	r := ledger.NewReplica()
	r.Apply(decoded)
	decoded = nil
	used := heapBytes() - before
	runtime.KeepAlive(r)
	runtime.KeepAlive(data)
	return used, nil
}

func fullStateBytes(size int) (float64, error) {
	changes, err := fullState(size)
	return float64(proto.Size(changes)), err
}

func fullStateCompressedBytes(size int) (float64, error) {
	data, err := encodedFullState(size)
	if err != nil {
		return 0, err
	}
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	if _, err := z.Write(data); err != nil {
		return 0, errors.Newf("compress: %w", err)
	}
	if err := z.Close(); err != nil {
		return 0, errors.Newf("compress: %w", err)
	}
	return float64(b.Len()), nil
}

func replicaApplyTime(size int) (float64, error) {
	changes, err := fullState(size)
	if err != nil {
		return 0, err
	}
	const repetitions = 5
	start := cpuTime()
	for range repetitions {
		ledger.NewReplica().Apply(changes)
	}
	return microseconds(cpuTime()-start) / repetitions, nil
}

func microseconds(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// ledgerWithChanges returns a filled ledger with n further changes. Each changes about as
// much state as a reservation, which is the most frequent change.
func ledgerWithChanges(n int) (*ledger.Ledger, error) {
	l, err := newFilledLedger(1000)
	if err != nil {
		return nil, err
	}
	for i := range n {
		_, err := applyCommand(l, uint64(3+i), &schema.Command{Body: &schema.Command_PutServer{PutServer: &schema.PutServer{
			Server: &schema.Server{
				Name: fmt.Sprintf("engine-%04d", i), Incarnation: 1790000000000000000, Kind: schema.ServerKind_SERVER_KIND_ENGINE,
				Address: "10.20.30.40:8000", DataCentre: "hall-a", AcceleratorMib: []uint64{81920, 81920},
			},
		}}})
		if err != nil {
			return nil, err
		}
	}
	return l, nil
}

func changeBytes(n int) (float64, error) {
	l, err := ledgerWithChanges(n)
	if err != nil {
		return 0, err
	}
	return float64(proto.Size(l.Since(2))), nil
}

func changeTime(n int) (float64, error) {
	l, err := ledgerWithChanges(n)
	if err != nil {
		return 0, err
	}
	data, err := proto.Marshal(l.Since(2))
	if err != nil {
		return 0, errors.Newf("encode changes: %w", err)
	}
	const repetitions = 20
	start := cpuTime()
	for range repetitions {
		c := &schema.Changes{}
		if err := proto.Unmarshal(data, c); err != nil {
			return 0, errors.Newf("decode changes: %w", err)
		}
		ledger.NewReplica().Apply(c)
	}
	return microseconds(cpuTime()-start) / repetitions, nil
}

func applyClaims(l *ledger.Ledger, n int) error {
	for i := range n {
		_, err := applyCommand(l, uint64(i+1), &schema.Command{AtMs: 1, Body: &schema.Command_ClaimRequest{ClaimRequest: &schema.ClaimRequest{
			Customer: "customer", Key: fmt.Sprintf("ride-%032d", i), Digest: make([]byte, 32), Entry: "entry-a1",
			EntryIncarnation: 1790000000000000000, DeadlineMs: 1790000000000, Attempt: uint64(i) << 32,
		}}})
		if err != nil {
			return err
		}
	}
	return nil
}

func claimHeapBytes(n int) (float64, error) {
	before := heapBytes()
	l := ledger.New()
	if err := applyClaims(l, n); err != nil {
		return 0, err
	}
	used := heapBytes() - before
	runtime.KeepAlive(l)
	return used, nil
}

func claimTime(n int) (float64, error) {
	start := cpuTime()
	err := applyClaims(ledger.New(), n)
	return microseconds(cpuTime() - start), err
}

// simulateHeartbeats runs the membership lists of hosts for some seconds of simulated time
// without packet loss. It returns the bytes sent, including IP and UDP headers, and the
// processor time in microseconds, both per host and second.
func simulateHeartbeats(hosts int) (bytesPerSecond, microsPerSecond float64, err error) {
	const (
		seconds     = 20
		tick        = 50 * time.Millisecond
		headerBytes = 28
	)
	random := rand.New(rand.NewSource(1))
	names := make([]string, 0, hosts)
	for i := range hosts {
		names = append(names, fmt.Sprintf("host-%04d", i))
	}
	lists := map[string]*membership.List{}
	for _, n := range names {
		lists[n] = membership.NewList(membership.Config{Self: n, Incarnation: 1790000000000000000, Hosts: names, Random: random.Intn})
	}
	now := time.Unix(1_790_000_000, 0)
	bytesSent := 0
	var deliver func(sends []membership.Datagram) error
	deliver = func(sends []membership.Datagram) error {
		for _, s := range sends {
			data, err := proto.Marshal(s.Probe)
			if err != nil {
				return errors.Newf("encode probe: %w", err)
			}
			bytesSent += len(data) + headerBytes
			p := &schema.Probe{}
			if err := proto.Unmarshal(data, p); err != nil {
				return errors.Newf("decode probe: %w", err)
			}
			if err := deliver(lists[s.To].Receive(now, p)); err != nil {
				return err
			}
		}
		return nil
	}
	run := func(d time.Duration) error {
		for end := now.Add(d); now.Before(end); now = now.Add(tick) {
			for _, n := range names {
				if err := deliver(lists[n].Tick(now)); err != nil {
					return err
				}
			}
		}
		return nil
	}
	// In the first minutes the hosts disseminate the membership, which is not measured.
	if err := run(2 * time.Minute); err != nil {
		return 0, 0, err
	}
	bytesSent = 0
	start := cpuTime()
	if err := run(seconds * time.Second); err != nil {
		return 0, 0, err
	}
	hostSeconds := float64(hosts * seconds)
	return float64(bytesSent) / hostSeconds, microseconds(cpuTime()-start) / hostSeconds, nil
}

func heartbeatBytes(hosts int) (float64, error) {
	b, _, err := simulateHeartbeats(hosts)
	return b, err
}

func heartbeatTime(hosts int) (float64, error) {
	_, t, err := simulateHeartbeats(hosts)
	return t, err
}

func announcement(i, cached int) *schema.Announcement {
	a := &schema.Announcement{Sequence: 1, Server: &schema.Server{
		Name: fmt.Sprintf("engine-%04d", i), Incarnation: 1790000000000000000, Kind: schema.ServerKind_SERVER_KIND_ENGINE,
		Address: "10.20.30.40:8000", DataCentre: "hall-a", AcceleratorMib: []uint64{81920, 81920},
	}}
	for j := range cached {
		a.Cached = append(a.Cached, &schema.CachedCheckpoint{
			Target: fmt.Sprintf("adapter-%05d", j), Version: "1", Tier: schema.Tier_TIER_DISK,
		})
	}
	return a
}

// unchangedReportBytes returns the size of a report in which the announcement of every server
// is unchanged except for its sequence number.
func unchangedReportBytes(servers int) (float64, error) {
	registry := backend.NewRegistry()
	now := time.Unix(1_790_000_000, 0)
	for i := range servers {
		registry.Record(announcement(i, 50), now)
	}
	registry.MarkReported(registry.Unreported(now))
	for i := range servers {
		a := announcement(i, 50)
		a.Sequence = 2
		registry.Record(a, now)
	}
	return float64(proto.Size(&schema.Report{Group: 1, Entry: "entry-a1", EntryIncarnation: 1790000000000000000, Announcements: registry.Unreported(now)})), nil
}

func announcementBytes(cached int) (float64, error) {
	return float64(proto.Size(announcement(1, cached))), nil
}

// Region returns the placement input of a region with a number of engines and of models
// with waiting requests. Each engine has two loaded models, and 15,100 models are
// configured.
func Region(servers, demands int) placement.Input {
	now := time.Unix(1_790_000_000, 0)
	in := placement.Input{
		Now: now, Demands: map[string]placement.Demand{},
		Speeds: placement.LoadSpeeds{RemoteMiBPerSecond: 1024, DiskMiBPerSecond: 4096, MemoryMiBPerSecond: 16384, LoadsPerSecond: 100, FullSpeedLoads: 100},
		Prices: placement.Prices{ColdStartSecond: 1, IdleAcceleratorHour: 20, WaitingPerReplica: 16},
	}
	models := map[string]placement.Model{}
	for i := range 15100 {
		m := placement.Model{Name: fmt.Sprintf("model-%05d", i), Version: "1", MemoryMiB: 16384, MaxReplicas: 50}
		models[m.Name] = m
	}
	in.Model = func(name string) (placement.Model, bool) {
		m, ok := models[name]
		return m, ok
	}
	for i := range servers {
		in.Servers = append(in.Servers, placement.Server{
			Name: fmt.Sprintf("engine-%04d", i), Incarnation: 1, DataCentre: fmt.Sprint("hall-", i%3),
			Accelerators: []uint64{81920, 81920}, Usable: true,
		})
		for a := range 2 {
			in.Replicas = append(in.Replicas, placement.Replica{
				Number: uint64(2*i + a + 1), Target: fmt.Sprintf("model-%05d", (2*i+a)%100), Version: "1",
				Server: fmt.Sprintf("engine-%04d", i), Accelerator: a, MemoryMiB: 16384, State: placement.StateLoaded,
				Since: now.Add(-time.Hour), LastUsed: now.Add(-time.Second),
			})
		}
	}
	for i := range demands {
		in.Demands[fmt.Sprintf("model-%05d", 200+i)] = placement.Demand{Waiting: 3, EarliestDeadline: now.Add(10 * time.Second)}
	}
	return in
}

// decisionTime returns the processor time of a placement decision in microseconds.
func decisionTime(in placement.Input) float64 {
	const repetitions = 20
	placement.Decide(in)
	start := cpuTime()
	for range repetitions {
		placement.Decide(in)
	}
	return microseconds(cpuTime()-start) / repetitions
}

func decisionByServers(servers int) (float64, error) { return decisionTime(Region(servers, 5)), nil }

func decisionByDemands(demands int) (float64, error) { return decisionTime(Region(1200, demands)), nil }
