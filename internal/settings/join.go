package settings

import (
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"fennelyard/internal/quota"
	"fennelyard/internal/schema"
)

// Defaults of the keys that the settings file of a host with seeds does not set.
const (
	DefaultJoinDirectoryKeep = 2 * time.Second
	DefaultAnnounceEvery     = 1200 * time.Millisecond
	DefaultStopLimit         = 8 * time.Second
	DefaultOrderLease        = 3 * time.Second
	DefaultRepeatRatio       = 0.2
	DefaultRepeatWindow      = 10 * time.Second
	DefaultRepeatSlack       = 50.0
	DefaultLoadWindow        = 5 * time.Second
	// DefaultBufferShare is the part of memory-mb that bodies may take.
	DefaultBufferShare = 0.25
	// DefaultBufferMB is the memory that bodies may take where memory-mb is not set.
	DefaultBufferMB = 128.0
)

const maxPort = 65535

// LoadJoin reads and validates the settings file of a host that joins through seeds, and
// sets the defaults. If the file can be read but is invalid, the error is of type Faults.
func LoadJoin(file string) (*schema.JoinSettings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Newf("read settings: %w", err)
	}
	return ParseJoin(file, data)
}

// ParseJoin is like LoadJoin for the content of a file.
func ParseJoin(file string, data []byte) (*schema.JoinSettings, error) {
	s := &schema.JoinSettings{}
	d := decode(file, data, s)
	if len(d.faults) == 0 || len(d.lines) > 0 {
		checkJoin(d, s)
	}
	if err := d.sortedFaults(); err != nil {
		return nil, err
	}
	setJoinDefaults(s)
	return s, nil
}

func checkJoin(d *document, s *schema.JoinSettings) {
	if s.GetHost() == "" {
		d.addKeyFault("host", "missing", "set the name of the host")
	}
	if _, err := netip.ParseAddr(s.GetIp()); err != nil {
		d.addKeyFault("ip", "not an IP address", "write the IP address of this host, for example 10.0.0.1")
	}
	if listen := s.GetPeerListenIp(); listen != "" {
		if _, err := netip.ParseAddr(listen); err != nil {
			d.addKeyFault("peer-listen-ip", "not an IP address", "remove the key or write an IP address of this host")
		}
	}
	if port := s.GetPeerPort(); port == 0 || port > maxPort {
		d.addKeyFault("peer-port", "not a port number", "write the port for connections between hosts")
	}
	if len(s.GetSeeds()) == 0 {
		d.addKeyFault("seeds", "missing", "list the operator addresses of a few control hosts")
	}
	for i, a := range s.GetSeeds() {
		checkAddress(d, "seeds["+strconv.Itoa(i)+"]", a, map[string]string{})
	}
	seen := map[string]string{}
	for _, listener := range []struct{ key, address string }{
		{"caller-address", s.GetCallerAddress()},
		{"ready-address", s.GetReadyAddress()},
		{"directory-address", s.GetDirectoryAddress()},
		{"operator-address", s.GetOperatorAddress()},
	} {
		if listener.address != "" {
			checkAddress(d, listener.key, listener.address, seen)
		}
	}
	if s.GetCallerAddress() == "" && s.GetOperatorAddress() == "" {
		d.addKeyFault("caller-address", "neither caller-address nor operator-address is set", "set caller-address on an entry, operator-address on a control host")
	}
	if s.GetOperatorAddress() != "" && !filepath.IsAbs(s.GetDataFolder()) {
		d.addKeyFault("data-folder", "a control host requires a data folder", "set an absolute path on a disk")
	}
	checkDuration(d, "directory-keep", s.GetDirectoryKeep(), 100*time.Millisecond, time.Hour)
	checkDuration(d, "announce-every", s.GetAnnounceEvery(), 10*time.Millisecond, time.Minute)
	checkDuration(d, "stop-limit", s.GetStopLimit(), time.Second, time.Hour)
	checkDuration(d, "order-lease", s.GetOrderLease(), 0, time.Minute)
	checkDuration(d, "repeat-window", s.GetRepeatWindow(), time.Second, time.Hour)
	checkDuration(d, "load-window", s.GetLoadWindow(), 100*time.Millisecond, time.Hour)
	checkDuration(d, "key-revocation", s.GetKeyRevocation(), 0, time.Hour)
	checkDuration(d, "quota-window", s.GetQuotaWindow(), time.Second, time.Hour)
	checkQuantity(d, "disk-mb", s.GetDiskMb(), "write for example 128")
	checkQuantity(d, "memory-mb", s.GetMemoryMb(), "write for example 256")
	if s.BufferMb != nil {
		checkBuffer(d, "buffer-mb", s.GetBufferMb(), s.GetMemoryMb())
	}
	checkQuantity(d, "repeat-ratio", s.GetRepeatRatio(), "write for example 0.2")
	checkQuantity(d, "repeat-slack", s.GetRepeatSlack(), "write for example 50")
}

// maxQuantity is the greatest value of a setting that counts or measures something.
const maxQuantity = 1 << 32

// checkQuantity checks a number that is not necessarily whole.
func checkQuantity(d *document, path string, value float64, remedy string) {
	if !(value >= 0 && value < maxQuantity) {
		d.addKeyFault(path, "must be from 0 to 4294967295", remedy)
	}
}

// checkBuffer checks the memory that bodies may take; memoryMB is that of the process, 0 if it is not
// known.
func checkBuffer(d *document, path string, value, memoryMB float64) {
	switch {
	case !(value > 0 && value < maxQuantity):
		d.addKeyFault(path, "must be more than 0", "remove the key, or write for example 64")
	case memoryMB > 0 && value >= memoryMB:
		d.addKeyFault(path, "must be less than memory-mb", "remove the key, or write a quarter of memory-mb")
	}
}

func setJoinDefaults(s *schema.JoinSettings) {
	if s.GetPeerListenIp() == "" {
		s.PeerListenIp = s.GetIp()
	}
	for _, setting := range []struct {
		value    **durationpb.Duration
		fallback time.Duration
	}{
		{&s.DirectoryKeep, DefaultJoinDirectoryKeep},
		{&s.AnnounceEvery, DefaultAnnounceEvery},
		{&s.StopLimit, DefaultStopLimit},
		{&s.OrderLease, DefaultOrderLease},
		{&s.RepeatWindow, DefaultRepeatWindow},
		{&s.LoadWindow, DefaultLoadWindow},
		{&s.QuotaWindow, quota.DefaultWindow},
	} {
		*setting.value = durationpb.New(durationOrDefault(*setting.value, setting.fallback))
	}
	// A budget of 0 is a bound like any other.
	if s.RepeatRatio == nil {
		s.RepeatRatio = proto.Float64(DefaultRepeatRatio)
	}
	if s.RepeatSlack == nil {
		s.RepeatSlack = proto.Float64(DefaultRepeatSlack)
	}
	s.BufferMb = bufferOrDefault(s.BufferMb, s.GetMemoryMb())
}

// bufferOrDefault returns the memory that bodies may take; memoryMB is that of the process, 0 if it is not known.
func bufferOrDefault(bufferMB *float64, memoryMB float64) *float64 {
	switch {
	case bufferMB != nil:
		return bufferMB
	case memoryMB > 0:
		return proto.Float64(memoryMB * DefaultBufferShare)
	}
	return proto.Float64(DefaultBufferMB)
}

// PeerAddress returns the peer address (IP:PORT) of the host with the given IP address.
func PeerAddress(ip string, s *schema.JoinSettings) string {
	return ip + ":" + strconv.Itoa(int(s.GetPeerPort()))
}

// SeedPeers returns the peer addresses of the seeds.
func SeedPeers(s *schema.JoinSettings) []string {
	var peers []string
	for _, a := range s.GetSeeds() {
		// ParseJoin has checked the addresses.
		peers = append(peers, PeerAddress(netip.MustParseAddrPort(a).Addr().String(), s))
	}
	return peers
}
