package settings

import (
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/types/known/durationpb"

	"fennelyard/internal/quota"
	"fennelyard/internal/schema"
)

// Defaults of a host that joins through seeds.
const (
	DefaultKeep          = 2 * time.Second
	DefaultAnnounceEvery = 1200 * time.Millisecond
	DefaultStopLimit     = 8 * time.Second
	DefaultOrderLease    = 3 * time.Second
	DefaultRepeatRatio   = 0.2
	DefaultRepeatWindow  = 10 * time.Second
	DefaultRepeatSlack   = 50
	DefaultLoadWindow    = 5 * time.Second
)

const maxPort = 65535

// LoadJoin reads and checks the settings of a host that joins through seeds.
func LoadJoin(file string) (*schema.JoinSettings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Newf("read settings: %w", err)
	}
	return ParseJoin(file, data)
}

// ParseJoin is LoadJoin for a file's content.
func ParseJoin(file string, data []byte) (*schema.JoinSettings, error) {
	s := &schema.JoinSettings{}
	d := decode(file, data, s)
	if len(d.faults) == 0 || len(d.lines) > 0 {
		checkJoin(d, s)
	}
	if err := d.err(); err != nil {
		return nil, err
	}
	fillJoin(s)
	return s, nil
}

func checkJoin(d *document, s *schema.JoinSettings) {
	if s.GetHost() == "" {
		d.fault("host", "missing", "give the host a name")
	}
	if _, err := netip.ParseAddr(s.GetIp()); err != nil {
		d.fault("ip", "not an IP number", "write this host's own, for example 10.0.0.1")
	}
	if listen := s.GetPeerListenIp(); listen != "" {
		if _, err := netip.ParseAddr(listen); err != nil {
			d.fault("peer-listen-ip", "not an IP number", "leave it out, or write one of this host's own")
		}
	}
	if p := s.GetPeerPort(); p == 0 || p > maxPort {
		d.fault("peer-port", "not a port", "write the port that hosts use among themselves")
	}
	if len(s.GetSeeds()) == 0 {
		d.fault("seeds", "missing", "list the operator addresses of a few control hosts")
	}
	for i, a := range s.GetSeeds() {
		checkAddress(d, "seeds["+strconv.Itoa(i)+"]", a, map[string]string{})
	}
	seen := map[string]string{}
	for _, x := range []struct{ key, address string }{
		{"caller-address", s.GetCallerAddress()},
		{"ready-address", s.GetReadyAddress()},
		{"directory-address", s.GetDirectoryAddress()},
		{"operator-address", s.GetOperatorAddress()},
	} {
		if x.address != "" {
			checkAddress(d, x.key, x.address, seen)
		}
	}
	if s.GetCallerAddress() == "" && s.GetOperatorAddress() == "" {
		d.fault("caller-address", "neither this nor operator-address is given", "give an entry the first, a control host the second")
	}
	if s.GetOperatorAddress() != "" && !filepath.IsAbs(s.GetDataFolder()) {
		d.fault("data-folder", "a control host needs a data folder", "write an absolute path on a disk")
	}
	checkDuration(d, "directory-keep", s.GetDirectoryKeep(), 100*time.Millisecond, time.Hour)
	checkDuration(d, "announce-every", s.GetAnnounceEvery(), 10*time.Millisecond, time.Minute)
	checkDuration(d, "stop-limit", s.GetStopLimit(), time.Second, time.Hour)
	checkDuration(d, "order-lease", s.GetOrderLease(), 0, time.Minute)
	checkDuration(d, "repeat-window", s.GetRepeatWindow(), time.Second, time.Hour)
	checkDuration(d, "load-window", s.GetLoadWindow(), 100*time.Millisecond, time.Hour)
	checkDuration(d, "key-revocation", s.GetKeyRevocation(), 0, time.Hour)
	checkDuration(d, "quota-window", s.GetQuotaWindow(), time.Second, time.Hour)
	if s.GetRepeatRatio() < 0 {
		d.fault("repeat-ratio", "below 0", "write for example 0.2")
	}
}

func fillJoin(s *schema.JoinSettings) {
	if s.GetPeerListenIp() == "" {
		s.PeerListenIp = s.GetIp()
	}
	for _, x := range []struct {
		into **durationpb.Duration
		d    time.Duration
	}{
		{&s.DirectoryKeep, DefaultKeep},
		{&s.AnnounceEvery, DefaultAnnounceEvery},
		{&s.StopLimit, DefaultStopLimit},
		{&s.OrderLease, DefaultOrderLease},
		{&s.RepeatWindow, DefaultRepeatWindow},
		{&s.LoadWindow, DefaultLoadWindow},
		{&s.QuotaWindow, quota.DefaultWindow},
	} {
		*x.into = durationpb.New(durationOr(*x.into, x.d))
	}
	s.RepeatRatio = valueOr(s.GetRepeatRatio(), DefaultRepeatRatio)
	s.RepeatSlack = valueOr(s.GetRepeatSlack(), DefaultRepeatSlack)
}

// PeerAddress returns the address at which the host at an IP number speaks with
// the other hosts.
func PeerAddress(ip string, s *schema.JoinSettings) string {
	return ip + ":" + strconv.Itoa(int(s.GetPeerPort()))
}

// SeedPeers returns the seeds' addresses for hosts among themselves.
func SeedPeers(s *schema.JoinSettings) []string {
	var out []string
	for _, a := range s.GetSeeds() {
		// The settings were checked when they were read.
		out = append(out, PeerAddress(netip.MustParseAddrPort(a).Addr().String(), s))
	}
	return out
}
