package gateway

import (
	"fennelyard/internal/ratelimit"
)

// statementsReceived applies what a response states about its server, where stamp is what was known
// of the server's limit when the request was sent.
func (x *exchange) statementsReceived(s *server, responseInfo ResponseInfo, stamp ratelimit.Stamp) {
	x.limitStated(s, responseInfo, stamp)
	x.cooldownStated(s, responseInfo)
	if responseInfo.Leaving {
		x.g.cfg.Log.Info("server states that it leaves", "server", s.id, "request", x.info.ID)
	}
}

// cooldownStated applies the time for which a response asks this entry to send its server nothing.
func (x *exchange) cooldownStated(s *server, responseInfo ResponseInfo) {
	stated := responseInfo.Cooldown
	x.statedCooldown = stated.Wait
	if stated.Unreadable {
		x.g.cfg.Log.Info("server cooldown not read", "server", s.id, "request", x.info.ID)
	}
	if stated.Wait > 0 {
		x.g.cfg.Log.Info("server states a cooldown", "server", s.id, "for-ms", stated.Wait.Milliseconds(), "request", x.info.ID)
	}
}
