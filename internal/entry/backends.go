package entry

import (
	"io"
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
	announceEvery    = time.Second
	maxAnnounceBytes = 4 << 20
)

func (e *Entry) backendRoutes() *echo.Echo {
	r := newRoutes()
	r.POST(announcePath, e.announce)
	return r
}

func (e *Entry) announce(c echo.Context) error {
	data, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxAnnounceBytes))
	if err != nil {
		return writeRefusal(c, "", refusal.New(refusal.BodyTooLarge, "the announcement has more than %d bytes", maxAnnounceBytes))
	}
	a, err := backend.Decode(data)
	if err != nil {
		return writeRefusal(c, "", refusal.New(refusal.BadRequest, "%v", err))
	}
	if e.heard.Record(a, time.Now()) && a.GetServer().GetLeaving() {
		e.refresh(e.gate.Queues())
	}
	return operator.WriteProto(c, http.StatusOK, &schema.AnnounceReply{
		Addresses: e.backendAddresses(), EveryMs: uint32(announceEvery.Milliseconds()),
	})
}

// backendAddresses lists where announcements go: this entry first while it is
// not stopping, then the other live ones.
func (e *Entry) backendAddresses() []string {
	alive := map[string]bool{}
	for _, f := range e.cfg.Membership.Facts() {
		alive[f.GetHost()] = f.GetState() == schema.HostState_HOST_STATE_ALIVE && !f.GetStopping()
	}
	var out []string
	if alive[e.cfg.Self.GetName()] {
		out = append(out, e.cfg.Self.GetBackendAddress())
	}
	for _, h := range e.cfg.Settings.GetHosts() {
		if alive[h.GetName()] && h.GetName() != e.cfg.Self.GetName() {
			out = append(out, h.GetBackendAddress())
		}
	}
	return out
}
