package role

import (
	"context"
	"time"

	"fennelyard/internal/schema"
)

// pace says when the next word on a stream is due. It belongs to the goroutine that
// speaks, but for waiting.
type pace struct {
	// beat is the longest time between two words, and gather how long changes are gathered
	// into one that nobody waits for.
	beat   time.Duration
	gather func() time.Duration
	// log and roster return channels that are closed at the next change of either, and
	// answered one that is closed when there are more forecasts.
	log, roster, answered func() <-chan struct{}
	// held returns a channel that is closed when a request is held back that ends its
	// servers, or no longer.
	held func() <-chan struct{}
	// answers reports whether there are forecasts of what the other end wants.
	answers func(question) bool
	// brings reports whether a change that was not told brings what the other end wants.
	brings func(wants []*schema.ModelDemand) bool
	// ended is closed when the host stops.
	ended <-chan struct{}
	// waiting holds the latest question of the other end until rest takes it.
	waiting chan question

	ticker *time.Ticker
	// watched are the channels as of before the last word was put together.
	logChanged, rosterChanged, heldChanged <-chan struct{}
	// question is the last one of the other end, and asked is set until it is answered with
	// forecasts.
	question question
	asked    bool
	// urgent is set where the other end waits for the word that is due.
	urgent bool
	// due is set when a beat is over, and so the engines' loads are to be told.
	due bool
}

// question names the targets that requests wait for at the other end of a stream, and
// when it was heard.
type question struct {
	wants []*schema.ModelDemand
	at    time.Time
}

// start begins to count the time between words; the first one is due.
func (p *pace) start() {
	p.ticker = time.NewTicker(p.beat)
	p.due = true
}

// watch notes that a word is about to be put together: what changes from here on is due
// with the next one.
func (p *pace) watch() {
	p.logChanged, p.rosterChanged, p.heldChanged = p.log(), p.roster(), p.held()
}

// hear notes the latest targets that requests wait for at the other end. A later word
// replaces one that rest has not come to.
func (p *pace) hear(demands []*schema.ModelDemand) {
	if len(demands) == 0 {
		return
	}
	var waiting []*schema.ModelDemand
	for _, d := range demands {
		if d.GetWaiting() > 0 {
			waiting = append(waiting, d)
		}
	}
	select {
	case <-p.waiting:
	default:
	}
	p.waiting <- question{waiting, time.Now()}
}

// rest waits until another word is due: at once where requests at the other end wait for
// what has changed or ask when it will be there, else when changes have been gathered. It
// returns false when there is nobody to tell any more.
func (p *pace) rest(ctx context.Context) bool {
	p.urgent = false
	gather := time.NewTimer(p.gather())
	defer gather.Stop()
	gathered, pending := false, false
	answered := p.awaitAnswer()
	for !gathered || !pending {
		select {
		case <-ctx.Done():
			return false
		case <-p.ended:
			return false
		case p.question = <-p.waiting:
			p.asked = len(p.question.wants) > 0
			if answered = p.awaitAnswer(); p.asked && p.answers(p.question) {
				p.urgent = true
				return true
			}
		case <-answered:
			if p.answers(p.question) {
				p.urgent = true
				return true
			}
			answered = p.awaitAnswer()
		case <-p.ticker.C:
			p.due = true
			return true
		case <-gather.C:
			gathered = true
		case <-p.logChanged:
			p.logChanged, pending = nil, true
		case <-p.heldChanged:
			p.heldChanged, pending = nil, true
		case <-p.rosterChanged:
			// A stream without waiting requests is not woken by each change.
			p.rosterChanged, pending = nil, true
			if len(p.question.wants) > 0 {
				p.rosterChanged = p.roster()
				if p.brings(p.question.wants) {
					p.urgent = true
					return true
				}
			}
		}
	}
	return true
}

// awaitAnswer returns a channel that is closed when a question may be answered; nil where
// none is asked.
func (p *pace) awaitAnswer() <-chan struct{} {
	if !p.asked {
		return nil
	}
	return p.answered()
}

// settle leaves a moment before a word that somebody waits for: an order's end and what
// follows from it come within a few milliseconds. Where many are told it is the longer, so
// that a host before 36 entries whose callers all wait has time for more than words. It
// returns false when there is nobody to tell any more.
func (p *pace) settle(ctx context.Context) bool {
	if !p.urgent {
		return true
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(max(gatherLeast, p.gather()/settlePart)):
		return true
	}
}

// settlePart is the part of the time for which changes are gathered that a word waits which
// somebody waits for, one in so many: 22 ms before 36 entries.
const settlePart = 4
