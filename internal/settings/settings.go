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

// Defaults of the keys that a settings file does not set.
const (
	DefaultHeartbeat          = 100 * time.Millisecond
	DefaultElectionTimeout    = 500 * time.Millisecond
	DefaultSnapshotAfter      = 10000
	DefaultDirectoryKeep      = 5 * time.Second
	DefaultDeadline           = 30 * time.Second
	DefaultMaxBodyBytes       = 1 << 20
	DefaultQueueLimit         = 512
	DefaultReplicaLimit       = 16
	DefaultDrainLimit         = 60 * time.Second
	DefaultLoadsPerSecond     = 3
	DefaultFullSpeedLoads     = 4
	DefaultRemoteMiBPerSecond = 1024
	DefaultDiskMiBPerSecond   = 4096
	DefaultMemoryMiBPerSecond = 16384
	DefaultPolicyWeight       = 1

	maxDeadline = 10 * time.Minute
	// With an election timeout of fewer heartbeats, a single lost heartbeat would count as
	// a failed leader.
	minHeartbeatsPerElection = 4
	exporterOff              = "off"
	exporterLog              = "log"
)

// Load reads and validates a settings file and sets the defaults. If the file can be
// read but is invalid, the error is of type Faults.
func Load(file string) (*schema.Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Newf("read settings: %w", err)
	}
	return Parse(file, data)
}

// Parse is like Load for the content of a file.
func Parse(file string, data []byte) (*schema.Settings, error) {
	s := &schema.Settings{}
	d := decode(file, data, s)
	if len(d.faults) == 0 || len(d.lines) > 0 {
		checkSettings(d, s)
	}
	if err := d.sortedFaults(); err != nil {
		return nil, err
	}
	setDefaults(s)
	return s, nil
}

// LoadIntent reads an intent file. If the file can be read but is invalid, the error is
// of type Faults.
func LoadIntent(file string) (*schema.Intent, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Newf("read intent: %w", err)
	}
	return ParseIntent(file, data)
}

// ParseIntent is like LoadIntent for the content of a file. It checks the format only:
// the control group validates the intent against its state.
func ParseIntent(file string, data []byte) (*schema.Intent, error) {
	intent := &schema.Intent{}
	d := decode(file, data, intent)
	if err := d.sortedFaults(); err != nil {
		return nil, err
	}
	return intent, nil
}

// Self returns the settings of the host that the file belongs to, or nil if it is not
// listed.
func Self(s *schema.Settings) *schema.HostSettings {
	for _, h := range s.GetHosts() {
		if h.GetName() == s.GetHost() {
			return h
		}
	}
	return nil
}

func checkSettings(d *document, s *schema.Settings) {
	if s.GetDeployment() == "" {
		d.addKeyFault("deployment", "missing", "set the name of the deployment")
	}
	checkHosts(d, s)
	checkControl(d, s)
	checkEntry(d, s)
	checkPlacement(d, s)
	if a := s.GetMetricsAddress(); a != "" {
		checkAddress(d, "metrics-address", a, map[string]string{})
	}
	switch s.GetTrace().GetExporter() {
	case "", exporterOff, exporterLog:
	default:
		d.addKeyFault("trace.exporter", "unknown exporter", "set off or log")
	}
}

func checkHosts(d *document, s *schema.Settings) {
	if len(s.GetHosts()) == 0 {
		d.addKeyFault("hosts", "missing", "list every host of the deployment")
		return
	}
	names := map[string]bool{}
	addresses := map[string]string{}
	for i, h := range s.GetHosts() {
		path := fmt.Sprintf("hosts[%d]", i)
		switch {
		case h.GetName() == "":
			d.addKeyFault(path+".name", "missing", "set the name of the host")
		case names[h.GetName()]:
			d.addKeyFault(path+".name", fmt.Sprintf("%q is the name of another host", h.GetName()), "set a unique name for each host")
		}
		names[h.GetName()] = true
		if h.GetDataCentre() == "" {
			d.addKeyFault(path+".data-centre", "missing", "set the data centre of the host")
		}
		checkAddress(d, path+".peer-address", h.GetPeerAddress(), addresses)
		checkAddress(d, path+".caller-address", h.GetCallerAddress(), addresses)
		checkAddress(d, path+".operator-address", h.GetOperatorAddress(), addresses)
		checkAddress(d, path+".backend-address", h.GetBackendAddress(), addresses)
	}
	if !names[s.GetHost()] {
		d.addKeyFault("host", fmt.Sprintf("%q is not listed under hosts", s.GetHost()), "set the name of one of the hosts")
	}
}

// checkAddress checks that an address is IP:PORT and is not in seen, which maps the
// addresses checked before to their keys, and adds it to seen. Host names are rejected:
// a host must be reachable while name resolution fails.
func checkAddress(d *document, path, address string, seen map[string]string) {
	if address == "" {
		d.addKeyFault(path, "missing", "write IP:PORT, for example 10.0.0.1:7000")
		return
	}
	a, err := netip.ParseAddrPort(address)
	switch {
	case err != nil:
		d.addKeyFault(path, fmt.Sprintf("%q is not IP:PORT", address), "write an IP address and a port, for example 10.0.0.1:7000")
	case a.Port() == 0 || a.Addr().IsUnspecified():
		d.addKeyFault(path, fmt.Sprintf("%q cannot be reached from other hosts", address), "write the address that callers or other hosts connect to")
	case seen[a.String()] != "":
		d.addKeyFault(path, fmt.Sprintf("%q is already used by %s", address, seen[a.String()]), "set a different address for each listener")
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
		d.addKeyFault("hosts", fmt.Sprintf("even number of control members: %d", members), "set control: true on 3 or 5 hosts (1 for a trial)")
	}
	c := s.GetControl()
	if self := Self(s); self.GetControl() && !filepath.IsAbs(c.GetDataFolder()) {
		d.addKeyFault("control.data-folder", "a control member requires a data folder", "set an absolute path on a disk")
	}
	heartbeat := durationOrDefault(c.GetHeartbeat(), DefaultHeartbeat)
	election := durationOrDefault(c.GetElectionTimeout(), DefaultElectionTimeout)
	if heartbeat < time.Millisecond {
		d.addKeyFault("control.heartbeat", "too short", "set at least 1ms")
	}
	if election < minHeartbeatsPerElection*heartbeat {
		d.addKeyFault("control.election-timeout", "too short for the heartbeat",
			fmt.Sprintf("set at least %v", minHeartbeatsPerElection*heartbeat))
	}
}

func checkEntry(d *document, s *schema.Settings) {
	e := s.GetEntry()
	checkDuration(d, "entry.directory-keep", e.GetDirectoryKeep(), time.Second, time.Hour)
	checkDuration(d, "entry.default-deadline", e.GetDefaultDeadline(), time.Millisecond, maxDeadline)
	checkDuration(d, "entry.drain-limit", e.GetDrainLimit(), 0, time.Hour)
	checkQuantity(d, "memory-mb", s.GetMemoryMb(), "write for example 256")
	if e != nil && e.BufferMb != nil {
		checkBuffer(d, "entry.buffer-mb", e.GetBufferMb(), s.GetMemoryMb())
	}
}

func checkDuration(d *document, path string, v *durationpb.Duration, minimum, maximum time.Duration) {
	if v == nil {
		return
	}
	if t := v.AsDuration(); t < minimum || t > maximum {
		d.addKeyFault(path, fmt.Sprintf("%v is out of range", t), fmt.Sprintf("set a value from %v to %v", minimum, maximum))
	}
}

func checkPlacement(d *document, s *schema.Settings) {
	if s.GetWeightStore().GetLoadsPerSecond() < 0 {
		d.addKeyFault("weight-store.loads-per-second", "must not be negative", "write for example 3")
	}
	if s.GetPolicy().GetColdSecondWeight() < 0 {
		d.addKeyFault("policy.cold-second-weight", "must not be negative", "write for example 1")
	}
	if s.GetPolicy().GetIdleHourWeight() < 0 {
		d.addKeyFault("policy.idle-hour-weight", "must not be negative", "write for example 1")
	}
}

func setDefaults(s *schema.Settings) {
	if s.GetControl() == nil {
		s.Control = &schema.ControlSettings{}
	}
	c := s.GetControl()
	c.Heartbeat = durationpb.New(durationOrDefault(c.GetHeartbeat(), DefaultHeartbeat))
	c.ElectionTimeout = durationpb.New(durationOrDefault(c.GetElectionTimeout(), DefaultElectionTimeout))
	c.SnapshotAfter = valueOrDefault(c.GetSnapshotAfter(), DefaultSnapshotAfter)
	if s.GetEntry() == nil {
		s.Entry = &schema.EntrySettings{}
	}
	e := s.GetEntry()
	e.DirectoryKeep = durationpb.New(durationOrDefault(e.GetDirectoryKeep(), DefaultDirectoryKeep))
	e.DefaultDeadline = durationpb.New(durationOrDefault(e.GetDefaultDeadline(), DefaultDeadline))
	e.DrainLimit = durationpb.New(durationOrDefault(e.GetDrainLimit(), DefaultDrainLimit))
	e.MaxBodyBytes = valueOrDefault(e.GetMaxBodyBytes(), DefaultMaxBodyBytes)
	e.QueueLimit = valueOrDefault(e.GetQueueLimit(), DefaultQueueLimit)
	e.ReplicaLimit = valueOrDefault(e.GetReplicaLimit(), DefaultReplicaLimit)
	e.BufferMb = bufferOrDefault(e.BufferMb, s.GetMemoryMb())
	setPlacementDefaults(s)
}

func setPlacementDefaults(s *schema.Settings) {
	if s.GetWeightStore() == nil {
		s.WeightStore = &schema.WeightStoreSettings{}
	}
	w := s.GetWeightStore()
	w.LoadsPerSecond = valueOrDefault(w.GetLoadsPerSecond(), DefaultLoadsPerSecond)
	w.FullSpeedLoads = valueOrDefault(w.GetFullSpeedLoads(), DefaultFullSpeedLoads)
	w.RemoteMibPerSecond = valueOrDefault(w.GetRemoteMibPerSecond(), DefaultRemoteMiBPerSecond)
	w.DiskMibPerSecond = valueOrDefault(w.GetDiskMibPerSecond(), DefaultDiskMiBPerSecond)
	w.MemoryMibPerSecond = valueOrDefault(w.GetMemoryMibPerSecond(), DefaultMemoryMiBPerSecond)
	if s.GetPolicy() == nil {
		s.Policy = &schema.PolicySettings{}
	}
	p := s.GetPolicy()
	p.ColdSecondWeight = valueOrDefault(p.GetColdSecondWeight(), DefaultPolicyWeight)
	p.IdleHourWeight = valueOrDefault(p.GetIdleHourWeight(), DefaultPolicyWeight)
}

func durationOrDefault(v *durationpb.Duration, fallback time.Duration) time.Duration {
	if v == nil {
		return fallback
	}
	return v.AsDuration()
}

func valueOrDefault[T comparable](v, fallback T) T {
	var zero T
	if v == zero {
		return fallback
	}
	return v
}
