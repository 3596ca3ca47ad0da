package entry

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"fennelyard/internal/backend"
	"fennelyard/internal/operator"
	"fennelyard/internal/refusal"
	"fennelyard/internal/schema"
)

const (
	announcePath     = "/v1/announcements"
	announceInterval = time.Second
	maxAnnounceBytes = 4 << 20
)

func (e *Entry) backendRoutes() *echo.Echo {
	r := newRoutes()
	r.POST(announcePath, e.announce)
	return r
}

func (e *Entry) announce(c echo.Context) error {
	share := e.commands.NewShare()
	defer share.Release()
	data, ended, err := share.Read(http.MaxBytesReader(c.Response(), c.Request().Body, maxAnnounceBytes), c.Request().ContentLength, maxAnnounceBytes+1)
	if err == nil && !ended {
		return writeRefusal(c, "", refusal.New(refusal.NoMemory, "the bodies of other requests take all memory of this host").WithRetryAfter(memoryRetryAfter))
	}
	if err != nil {
		return writeRefusal(c, "", refusal.New(refusal.BodyTooLarge, "the announcement has more than %d bytes", maxAnnounceBytes))
	}
	a, err := backend.Decode(data)
	if err != nil {
		return writeRefusal(c, "", refusal.New(refusal.BadRequest, "%v", err))
	}
	if e.backends.Record(a, time.Now()) && a.GetServer().GetLeaving() {
		e.refreshCapacity(e.admission.Queues())
	}
	return operator.WriteProto(c, http.StatusOK, &schema.AnnounceReply{
		Addresses: e.backendAddresses(), EveryMs: uint32(announceInterval.Milliseconds()),
	})
}

// backendAddresses returns the addresses that servers announce themselves to:
// this entry first unless it is stopping, then the other available entries.
func (e *Entry) backendAddresses() []string {
	available := e.availableEntries()
	var out []string
	if available[e.cfg.Self.GetName()] {
		out = append(out, e.cfg.Self.GetBackendAddress())
	}
	for _, h := range e.cfg.Settings.GetHosts() {
		if available[h.GetName()] && h.GetName() != e.cfg.Self.GetName() {
			out = append(out, h.GetBackendAddress())
		}
	}
	return out
}

// availableEntries returns the names of the entries that are alive and not stopping.
func (e *Entry) availableEntries() map[string]bool {
	available := map[string]bool{}
	for _, f := range e.cfg.Membership.Facts() {
		available[f.GetHost()] = f.GetState() == schema.HostState_HOST_STATE_ALIVE && !f.GetStopping()
	}
	return available
}
