package gateway

import (
	"net/http"
	"time"

	"fennelyard/internal/incarnation"
	"fennelyard/internal/relay"
)

// deadlineSlack is how long before the deadline that a server was sent it may stop working on a request: the
// deadline is sent in whole milliseconds, and counts from a moment that the clocks of the two hosts measure apart.
const deadlineSlack = 20 * time.Millisecond

// verifyEnd reports whether the process that sent a response still runs once its connection was closed. A server
// stops by itself at stopsAt, which is no regular end either. A server that wants nothing from this entry is not
// asked.
func (x *exchange) verifyEnd(s *server, stopsAt time.Time) relay.Presence {
	start := time.Now()
	presence := relay.PresenceNotProbed
	healthPath := x.table.pools[x.pool].GetHealthPath()
	if healthPath != "" && start.Before(stopsAt.Add(-deadlineSlack)) && x.g.fleet.cooldowns.Remaining(s.id, start) == 0 {
		presence = x.g.cfg.Sender.Identify(x.ctx, s.address, &relay.Request{
			Method: http.MethodGet, Target: healthPath, Host: s.address, Header: http.Header{},
			MatchesResponse: func(http.Header) bool { return true },
		}, func(header http.Header) bool {
			return x.g.cfg.Codec.ParseIdentity(header) == incarnation.ServerOf(s.id)
		})
	}
	x.g.cfg.Log.Info("response ended with its connection", "server", s.id, "request", x.info.ID, "via", x.via, "answers", presence.String(),
		"took-ms", time.Since(start).Milliseconds(), "server-stops-in-ms", stopsAt.Sub(start).Milliseconds())
	if x.g.cfg.OnConnectionEnd != nil {
		x.g.cfg.OnConnectionEnd(presence)
	}
	return presence
}
