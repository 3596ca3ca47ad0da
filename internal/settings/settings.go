package settings

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/types/known/durationpb"

	"fennelyard/internal/schema"
)

// The defaults of settings that are left out.
const (
	DefaultHeartbeat       = 100 * time.Millisecond
	DefaultElectionTimeout = 500 * time.Millisecond
	DefaultSnapshotAfter   = 10000
	DefaultDirectoryKeep   = 5 * time.Second
	DefaultDeadline        = 30 * time.Second
	DefaultMaxBodyBytes    = 1 << 20
	DefaultQueueLimit      = 512
	DefaultReplicaLimit    = 16
	DefaultDrainLimit      = 60 * time.Second
	DefaultLoadsPerSecond  = 3
	DefaultFullSpeedLoads  = 4
	DefaultRemoteRate      = 1024
	DefaultDiskRate        = 4096
	DefaultMemoryRate      = 16384
	DefaultWeight          = 1

	maxDeadline = 10 * time.Minute
	// An election timeout of fewer heartbeats would take one lost heartbeat for
	// a dead leader.
	minHeartbeatsPerElection = 4
	exporterOff              = "off"
	exporterLog              = "log"
)

// Load reads and checks a settings file and fills in the defaults. The error
// is Faults when the file could be read.
func Load(file string) (*schema.Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Newf("read settings: %w", err)
	}
	return Parse(file, data)
}

// Parse is Load for a file's content.
func Parse(file string, data []byte) (*schema.Settings, error) {
	s := &schema.Settings{}
	d := decode(file, data, s)
	if len(d.faults) == 0 || len(d.lines) > 0 {
		check(d, s)
	}
	if err := d.err(); err != nil {
		return nil, err
	}
	fillDefaults(s)
	return s, nil
}

// LoadIntent reads an intent file.
func LoadIntent(file string) (*schema.Intent, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Newf("read intent: %w", err)
	}
	return ParseIntent(file, data)
}

// ParseIntent is LoadIntent for a file's content. What an intent asks for is
// checked by the control group, against its state.
func ParseIntent(file string, data []byte) (*schema.Intent, error) {
	in := &schema.Intent{}
	d := decode(file, data, in)
	if err := d.err(); err != nil {
		return nil, err
	}
	return in, nil
}

// Self returns the settings of the file's own host.
func Self(s *schema.Settings) *schema.HostSettings {
	for _, h := range s.GetHosts() {
		if h.GetName() == s.GetHost() {
			return h
		}
	}
	return nil
}

func check(d *document, s *schema.Settings) {
	if s.GetDeployment() == "" {
		d.fault("deployment", "missing", "give the deployment a name")
	}
	checkHosts(d, s)
	checkControl(d, s)
	checkEntry(d, s)
	checkWeightStore(d, s)
	if a := s.GetMetricsAddress(); a != "" {
		checkAddress(d, "metrics-address", a, map[string]string{})
	}
	switch s.GetTrace().GetExporter() {
	case "", exporterOff, exporterLog:
	default:
		d.fault("trace.exporter", "unknown exporter", "write off or log")
	}
}

func checkHosts(d *document, s *schema.Settings) {
	if len(s.GetHosts()) == 0 {
		d.fault("hosts", "missing", "list every host of the deployment")
		return
	}
	names := map[string]bool{}
	addresses := map[string]string{}
	for i, h := range s.GetHosts() {
		path := fmt.Sprintf("hosts[%d]", i)
		switch {
		case h.GetName() == "":
			d.fault(path+".name", "missing", "give the host a name")
		case names[h.GetName()]:
			d.fault(path+".name", fmt.Sprintf("%q is used twice", h.GetName()), "give each host its own name")
		}
		names[h.GetName()] = true
		if h.GetDataCentre() == "" {
			d.fault(path+".data-centre", "missing", "name the data centre that the host stands in")
		}
		checkAddress(d, path+".peer-address", h.GetPeerAddress(), addresses)
		checkAddress(d, path+".caller-address", h.GetCallerAddress(), addresses)
		checkAddress(d, path+".operator-address", h.GetOperatorAddress(), addresses)
		checkAddress(d, path+".backend-address", h.GetBackendAddress(), addresses)
	}
	if !names[s.GetHost()] {
		d.fault("host", fmt.Sprintf("%q is not under hosts", s.GetHost()), "name one of the hosts")
	}
}

// checkAddress wants an IP number: a host must be reachable when no name
// service is.
func checkAddress(d *document, path, address string, seen map[string]string) {
	if address == "" {
		d.fault(path, "missing", "write IP:PORT, for example 10.0.0.1:7000")
		return
	}
	a, err := netip.ParseAddrPort(address)
	switch {
	case err != nil:
		d.fault(path, fmt.Sprintf("%q is not IP:PORT", address), "write an IP number and a port, for example 10.0.0.1:7000")
	case a.Port() == 0 || a.Addr().IsUnspecified():
		d.fault(path, fmt.Sprintf("%q cannot be reached by others", address), "write the address that others connect to")
	case seen[a.String()] != "":
		d.fault(path, fmt.Sprintf("%q is also %s", address, seen[a.String()]), "give each listener its own address")
	default:
		seen[a.String()] = path
	}
}

func checkControl(d *document, s *schema.Settings) {
	members := 0
	for _, h := range s.GetHosts() {
		if h.GetControl() {
			members++
		}
	}
	if len(s.GetHosts()) > 0 && members%2 == 0 {
		d.fault("hosts", fmt.Sprintf("%d control members", members), "mark 3 or 5 hosts with control: true (1 for a trial)")
	}
	c := s.GetControl()
	if self := Self(s); self.GetControl() && !filepath.IsAbs(c.GetDataFolder()) {
		d.fault("control.data-folder", "a control member needs a data folder", "write an absolute path on a disk")
	}
	heartbeat := durationOr(c.GetHeartbeat(), DefaultHeartbeat)
	election := durationOr(c.GetElectionTimeout(), DefaultElectionTimeout)
	if heartbeat < time.Millisecond {
		d.fault("control.heartbeat", "too short", "write at least 1ms")
	}
	if election < minHeartbeatsPerElection*heartbeat {
		d.fault("control.election-timeout", "too short for the heartbeat",
			fmt.Sprintf("write at least %v", minHeartbeatsPerElection*heartbeat))
	}
}

func checkEntry(d *document, s *schema.Settings) {
	e := s.GetEntry()
	checkDuration(d, "entry.directory-keep", e.GetDirectoryKeep(), time.Second, time.Hour)
	checkDuration(d, "entry.default-deadline", e.GetDefaultDeadline(), time.Millisecond, maxDeadline)
	checkDuration(d, "entry.drain-limit", e.GetDrainLimit(), 0, time.Hour)
}

func checkDuration(d *document, path string, v *durationpb.Duration, low, high time.Duration) {
	if v == nil {
		return
	}
	if t := v.AsDuration(); t < low || t > high {
		d.fault(path, fmt.Sprintf("%v is out of range", t), fmt.Sprintf("write %v to %v", low, high))
	}
}

func checkWeightStore(d *document, s *schema.Settings) {
	if s.GetWeightStore().GetLoadsPerSecond() < 0 {
		d.fault("weight-store.loads-per-second", "below 0", "write for example 3")
	}
	if s.GetPolicy().GetColdSecondWeight() < 0 {
		d.fault("policy.cold-second-weight", "below 0", "write for example 1")
	}
	if s.GetPolicy().GetIdleHourWeight() < 0 {
		d.fault("policy.idle-hour-weight", "below 0", "write for example 1")
	}
}

func fillDefaults(s *schema.Settings) {
	if s.GetControl() == nil {
		s.Control = &schema.ControlSettings{}
	}
	c := s.GetControl()
	c.Heartbeat = durationpb.New(durationOr(c.GetHeartbeat(), DefaultHeartbeat))
	c.ElectionTimeout = durationpb.New(durationOr(c.GetElectionTimeout(), DefaultElectionTimeout))
	c.SnapshotAfter = valueOr(c.GetSnapshotAfter(), DefaultSnapshotAfter)
	if s.GetEntry() == nil {
		s.Entry = &schema.EntrySettings{}
	}
	e := s.GetEntry()
	e.DirectoryKeep = durationpb.New(durationOr(e.GetDirectoryKeep(), DefaultDirectoryKeep))
	e.DefaultDeadline = durationpb.New(durationOr(e.GetDefaultDeadline(), DefaultDeadline))
	e.DrainLimit = durationpb.New(durationOr(e.GetDrainLimit(), DefaultDrainLimit))
	e.MaxBodyBytes = valueOr(e.GetMaxBodyBytes(), DefaultMaxBodyBytes)
	e.QueueLimit = valueOr(e.GetQueueLimit(), DefaultQueueLimit)
	e.ReplicaLimit = valueOr(e.GetReplicaLimit(), DefaultReplicaLimit)
	fillPlacementDefaults(s)
}

func fillPlacementDefaults(s *schema.Settings) {
	if s.GetWeightStore() == nil {
		s.WeightStore = &schema.WeightStoreSettings{}
	}
	w := s.GetWeightStore()
	w.LoadsPerSecond = valueOr(w.GetLoadsPerSecond(), DefaultLoadsPerSecond)
	w.FullSpeedLoads = valueOr(w.GetFullSpeedLoads(), DefaultFullSpeedLoads)
	w.RemoteMibPerSecond = valueOr(w.GetRemoteMibPerSecond(), DefaultRemoteRate)
	w.DiskMibPerSecond = valueOr(w.GetDiskMibPerSecond(), DefaultDiskRate)
	w.MemoryMibPerSecond = valueOr(w.GetMemoryMibPerSecond(), DefaultMemoryRate)
	if s.GetPolicy() == nil {
		s.Policy = &schema.PolicySettings{}
	}
	p := s.GetPolicy()
	p.ColdSecondWeight = valueOr(p.GetColdSecondWeight(), DefaultWeight)
	p.IdleHourWeight = valueOr(p.GetIdleHourWeight(), DefaultWeight)
}

func durationOr(v *durationpb.Duration, d time.Duration) time.Duration {
	if v == nil {
		return d
	}
	return v.AsDuration()
}

func valueOr[T comparable](v, d T) T {
	var zero T
	if v == zero {
		return d
	}
	return v
}
