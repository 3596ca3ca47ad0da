package gateway

import (
	"net/http"
	"time"

	"fennelyard/internal/incarnation"
	"fennelyard/internal/relay"
)

// deadlineSlack is how long before the deadline a server may stop working on a request: the time that is left is sent
// in whole milliseconds.
const deadlineSlack = 5 * time.Millisecond

// verifyEnd reports whether the process that sent the response to a request of sentAt still runs once its connection
// was closed. A server that wants nothing from this entry is not asked.
func (x *exchange) verifyEnd(s *server, sentAt time.Time) relay.Presence {
	start := time.Now()
	presence := relay.PresenceNotProbed
	healthPath := x.table.pools[x.pool].GetHealthPath()
	if healthPath != "" && x.g.fleet.cooldowns.Remaining(s.id, start) == 0 {
		presence = x.g.cfg.Sender.Identify(x.ctx, s.address, &relay.Request{
			Method: http.MethodGet, Target: healthPath, Host: s.address, Header: http.Header{},
			MatchesResponse: func(http.Header) bool { return true },
		}, func(header http.Header) bool {
			return x.g.cfg.Codec.ParseIdentity(header) == s.server && !x.g.fleet.startedAgain(s, sentAt)
		})
	}
	x.g.cfg.Log.Info("response ended with its connection", "server", s.id, "request", x.info.ID, "via", x.via, "answers", presence.String(),
		"took-ms", time.Since(start).Milliseconds(), "left-ms", time.Until(x.deadline).Milliseconds())
	if x.g.cfg.OnConnectionEnd != nil {
		x.g.cfg.OnConnectionEnd(presence)
	}
	return presence
}

// startedAgain reports whether a server is known to have started again under its ID after a request of sentAt was
// sent to it: only its ID is stated in a health check.
func (f *fleet) startedAgain(s *server, sentAt time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.servers[s.id] != nil || f.incarnations[s.server] == 0 {
		return false
	}
	for key := range f.servers {
		if incarnation.ServerOf(key) == s.server && !incarnation.MayHaveReceived(key, s.id, sentAt) {
			return true
		}
	}
	return false
}
