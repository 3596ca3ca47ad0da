package control

import (
	"slices"
	"strings"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/grpc/status"

	"fennelyard/internal/schema"
)

const (
	// joinLogInterval is the interval at which unchanged replies are logged again.
	// A host that is not admitted repeats its join requests every second.
	joinLogInterval = 10 * time.Second
	// maxKnownAddresses bounds the member addresses learned from replies. Control
	// groups have a few members, and a query to a host that is down takes
	// helloTimeout.
	maxKnownAddresses = 16
)

// joinState is the state of a host's requests to join the group. It must be used by
// one goroutine at a time. The zero value is ready for use.
type joinState struct {
	// knownAddresses are the latest member addresses learned from replies.
	knownAddresses []string

	// queried and replies are those of the current round of requests.
	queried []string
	replies []string

	lastText string
	loggedAt time.Time
}

// begin starts a round of requests.
func (s *joinState) begin() { s.queried, s.replies = nil, nil }

// record records the result of one request.
func (s *joinState) record(result helloResult) {
	address := result.host.GetPeerAddress()
	s.queried = append(s.queried, address)
	if result.err != nil {
		s.replies = append(s.replies, address+": "+status.Code(result.err).String())
		return
	}
	s.replies = append(s.replies, address+": "+describeReply(result.reply))
	for _, member := range result.reply.GetMemberAddresses() {
		if member != "" && !slices.Contains(s.knownAddresses, member) {
			s.knownAddresses = append(s.knownAddresses, member)
		}
	}
	// Drop the oldest addresses first: replies no longer contain those of hosts
	// that were replaced.
	s.knownAddresses = s.knownAddresses[max(len(s.knownAddresses)-maxKnownAddresses, 0):]
}

// hasQueried reports whether a host was queried in the current round.
func (s *joinState) hasQueried(h *schema.HostSettings) bool {
	return slices.Contains(s.queried, h.GetPeerAddress())
}

// end logs the replies of the round if they have changed or joinLogInterval has
// passed. Without this line a host that is never admitted would log nothing.
func (s *joinState) end(log logr.Logger) {
	text := strings.Join(s.replies, ", ")
	if text == s.lastText && time.Since(s.loggedAt) < joinLogInterval {
		return
	}
	s.lastText, s.loggedAt = text, time.Now()
	log.Info("asks to be taken in", "answers", text)
}

// describeReply returns a short description of a reply for the log.
func describeReply(reply *schema.HelloReply) string {
	switch {
	case !reply.GetFormed():
		return "not formed"
	case reply.GetLeaderAddress() == "":
		return "formed, knows no leader"
	}
	return "formed, led by " + reply.GetLeaderAddress()
}

// hostsOf returns the hosts of a membership's voters and learners.
func hostsOf(m *schema.Membership) (voters, learners []string) {
	for _, member := range m.GetMembers() {
		if member.GetLearner() {
			learners = append(learners, member.GetHost())
			continue
		}
		voters = append(voters, member.GetHost())
	}
	return voters, learners
}
