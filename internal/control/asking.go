package control

import (
	"strings"
	"time"

	"github.com/go-logr/logr"

	"fennelyard/internal/schema"
)

// askingKeep is how long answers that stay the same are not logged again: a host that
// is not taken in asks once a second, for as long as that lasts.
const askingKeep = 10 * time.Second

// asking logs what the hosts answer of whom this one asks to be taken in. Without it a
// host that nobody takes in writes no line at all. It belongs to one goroutine at a
// time; the zero value is ready for use.
type asking struct {
	last   string
	logged time.Time
}

// note logs the answers if they are others than before, or were logged long ago.
func (a *asking) note(log logr.Logger, answers []string) {
	text := strings.Join(answers, ", ")
	if text == a.last && time.Since(a.logged) < askingKeep {
		return
	}
	a.last, a.logged = text, time.Now()
	log.Info("asks to be taken in", "answers", text)
}

// standing is a host's answer in a word.
func standing(reply *schema.HelloReply) string {
	if reply.GetFormed() {
		return "formed"
	}
	return "not formed"
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
