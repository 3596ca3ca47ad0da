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
	// askingKeep is how long answers that stay the same are not logged again: a host
	// that is not taken in asks once a second, for as long as that lasts.
	askingKeep = 10 * time.Second
	// namedMost bounds the addresses that are remembered from answers: control groups
	// have a few members, and each that is asked may be down for helloWait.
	namedMost = 16
)

// asking is what a host learns while it asks others to take it in. It belongs to one
// goroutine at a time; the zero value is ready for use.
type asking struct {
	// named are members' addresses that hosts named in the last answers.
	named []string

	// asked and answers are of the present time around.
	asked   []string
	answers []string

	last   string
	logged time.Time
}

// begin starts a time around.
func (a *asking) begin() { a.asked, a.answers = nil, nil }

// note takes one host's answer.
func (a *asking) note(x helloAnswer) {
	address := x.host.GetPeerAddress()
	a.asked = append(a.asked, address)
	if x.err != nil {
		a.answers = append(a.answers, address+": "+status.Code(x.err).String())
		return
	}
	a.answers = append(a.answers, address+": "+standing(x.reply))
	for _, named := range x.reply.GetMemberAddresses() {
		if named != "" && !slices.Contains(a.named, named) {
			a.named = append(a.named, named)
		}
	}
	// The oldest go first: hosts that were replaced are named no longer.
	a.named = a.named[max(len(a.named)-namedMost, 0):]
}

// hasAsked reports whether a host was asked this time around.
func (a *asking) hasAsked(h *schema.HostSettings) bool {
	return slices.Contains(a.asked, h.GetPeerAddress())
}

// end logs the answers if they are others than before, or were logged long ago. Without
// it a host that nobody takes in writes no line at all.
func (a *asking) end(log logr.Logger) {
	text := strings.Join(a.answers, ", ")
	if text == a.last && time.Since(a.logged) < askingKeep {
		return
	}
	a.last, a.logged = text, time.Now()
	log.Info("asks to be taken in", "answers", text)
}

// standing is a host's answer in a few words.
func standing(reply *schema.HelloReply) string {
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
	for _, x := range m.GetMembers() {
		if x.GetLearner() {
			learners = append(learners, x.GetHost())
			continue
		}
		voters = append(voters, x.GetHost())
	}
	return voters, learners
}
