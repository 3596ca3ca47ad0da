package role

import (
	"bytes"
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/labstack/echo/v4"
	"google.golang.org/protobuf/proto"

	"fennelyard/internal/asynclog"
	"fennelyard/internal/ledger"
	"fennelyard/internal/operator"
	"fennelyard/internal/quarantine"
	"fennelyard/internal/schema"
)

// operatorHandler answers what the platform's operators ask, and beside it the product's own
// questions about requests that end their servers.
func (c *Control) operatorHandler() http.Handler {
	own := echo.New()
	operator.RegisterSuspects(own, operator.SuspectsConfig{List: c.book.List, Release: c.release, Log: c.cfg.Log.WithName("quarantine")})
	mux := http.NewServeMux()
	mux.Handle(operator.SuspectsPath, own)
	mux.Handle(operator.SuspectsPath+"/", own)
	mux.Handle("/", c.cfg.Handler(c))
	return mux
}

// release has a request held back no longer, here and, as news goes, everywhere.
func (c *Control) release(key quarantine.Key) bool {
	released := c.book.Clear(key)
	if released {
		c.entries.RequestReport()
	}
	return released
}

// recallSuspects takes in, once in a term, the requests that end their servers as earlier
// leaders recorded them.
func (c *Control) recallSuspects(term uint64) {
	if c.recalled.Swap(term) == term {
		return
	}
	var list []*schema.Suspect
	c.group.Ledger().View(func(_ ledger.Status, r *ledger.Records) { list = r.Suspects(time.Now()) })
	if len(list) == 0 {
		return
	}
	c.book.Merge(list, false)
	c.cfg.Log.Info("suspects recalled", "count", len(list), "term", term)
}

func (c *Control) knownSuspects() []*schema.KnownSuspect {
	var out []*schema.KnownSuspect
	c.group.Ledger().View(func(_ ledger.Status, r *ledger.Records) { out = r.KnownSuspects() })
	return out
}

// rememberSuspects records which requests end their servers: entries and hosts know them,
// but all of them may lose power at once.
func (c *Control) rememberSuspects() {
	c.recallSuspects(c.group.Status().Term)
	q := c.suspectChanges()
	if len(q.GetSuspects())+len(q.GetForgotten()) == 0 {
		return
	}
	err := c.commit(context.Background(), &schema.Command{Body: &schema.Command_RememberSuspects{RememberSuspects: q}})
	c.cfg.Log.Info("suspects recorded", "come", len(q.GetSuspects()), "gone", len(q.GetForgotten()), "error", asynclog.ErrorText(err))
}

// suspectChanges is the difference between the requests that are likely to end their
// servers and those that are recorded.
func (c *Control) suspectChanges() *schema.RememberSuspects {
	recorded := map[string]*schema.Suspect{}
	for _, k := range c.knownSuspects() {
		recorded[string(k.GetSuspect().GetKey())] = k.GetSuspect()
	}
	q, now := &schema.RememberSuspects{}, time.Now().UnixMilli()
	for at := uint64(0); ; {
		list, to := c.book.Since(at, quarantine.PartLikely)
		if len(list) == 0 {
			break
		}
		at = to
		for _, s := range list {
			if !sameServers(recorded[string(s.GetKey())], s) {
				q.Suspects = append(q.Suspects, &schema.KnownSuspect{Suspect: s, AtMs: now})
			}
			delete(recorded, string(s.GetKey()))
		}
	}
	for _, s := range recorded {
		q.Forgotten = append(q.Forgotten, bytes.Clone(s.GetKey()))
	}
	return q
}

// sameServers reports whether the same servers ended under two suspects.
func sameServers(one, other *schema.Suspect) bool {
	return slices.EqualFunc(one.GetEnded(), other.GetEnded(), func(a, b *schema.EndedServer) bool { return proto.Equal(a, b) })
}
