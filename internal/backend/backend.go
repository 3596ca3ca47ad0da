// Package backend decodes the announcements of backend servers and records the latest
// of each server. Supporting another format of announcements requires changes to this
// package only.
package backend

import (
	"net/netip"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protojson"

	"fennelyard/internal/schema"
)

// The names of server kinds and checkpoint tiers in an announcement.
const (
	KindEngine      = "engine"
	KindApplication = "application"
	TierMemory      = "memory"
	TierDisk        = "disk"
)

const (
	maxNameBytes         = 128
	maxAccelerators      = 64
	maxListedCheckpoints = 20000
)

// Decode decodes and validates an announcement. It does not panic on any input.
func Decode(data []byte) (*schema.Announcement, error) {
	q := &schema.AnnounceRequest{}
	if err := protojson.Unmarshal(data, q); err != nil {
		return nil, errors.Newf("read announcement: %w", err)
	}
	if err := validate(q); err != nil {
		return nil, err
	}
	a := &schema.Announcement{
		Server: &schema.Server{
			Name: q.GetName(), Incarnation: q.GetIncarnation(), Kind: kindOf(q.GetKind()),
			Address: q.GetAddress(), DataCentre: q.GetDataCentre(), AcceleratorMib: q.GetAcceleratorMib(),
			Service: q.GetService(), ChecksFencing: q.GetChecksFencing(), Leaving: q.GetLeaving(),
		},
		Loaded: q.GetLoaded(), Outstanding: q.GetOutstanding(), Sequence: q.GetSequence(),
	}
	for _, c := range q.GetCached() {
		a.Cached = append(a.Cached, &schema.CachedCheckpoint{
			Target: c.GetTarget(), Version: c.GetVersion(), Tier: tierOf(c.GetTier()),
		})
	}
	return a, nil
}

func validate(q *schema.AnnounceRequest) error {
	address, err := netip.ParseAddrPort(q.GetAddress())
	switch {
	case q.GetName() == "" || len(q.GetName()) > maxNameBytes:
		return errors.Newf("name: 1 to %d characters are needed", maxNameBytes)
	case q.GetIncarnation() == 0:
		return errors.New("incarnation: a number above 0 that grows with every start is needed")
	case err != nil || address.Port() == 0:
		return errors.Newf("address: %q is not IP:PORT", q.GetAddress())
	case q.GetDataCentre() == "":
		return errors.New("data-centre: missing")
	case kindOf(q.GetKind()) == schema.ServerKind_SERVER_KIND_UNSPECIFIED:
		return errors.Newf("kind: %q is neither %s nor %s", q.GetKind(), KindEngine, KindApplication)
	case q.GetKind() == KindEngine && (len(q.GetAcceleratorMib()) == 0 || len(q.GetAcceleratorMib()) > maxAccelerators):
		return errors.Newf("accelerator-mib: an engine has 1 to %d accelerators", maxAccelerators)
	case q.GetKind() == KindApplication && q.GetService() == "":
		return errors.New("service: an application server names its service")
	case len(q.GetCached()) > maxListedCheckpoints || len(q.GetLoaded()) > maxListedCheckpoints:
		return errors.Newf("cached, loaded: at most %d items", maxListedCheckpoints)
	}
	return nil
}

func kindOf(name string) schema.ServerKind {
	switch name {
	case KindEngine:
		return schema.ServerKind_SERVER_KIND_ENGINE
	case KindApplication:
		return schema.ServerKind_SERVER_KIND_APPLICATION
	default:
		return schema.ServerKind_SERVER_KIND_UNSPECIFIED
	}
}

func tierOf(name string) schema.Tier {
	switch name {
	case TierMemory:
		return schema.Tier_TIER_MEMORY
	case TierDisk:
		return schema.Tier_TIER_DISK
	default:
		return schema.Tier_TIER_REMOTE
	}
}
