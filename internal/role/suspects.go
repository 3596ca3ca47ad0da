package role

import (
	"bytes"
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/labstack/echo/v4"

	"fennelyard/internal/asynclog"
	"fennelyard/internal/ledger"
	"fennelyard/internal/operator"
	"fennelyard/internal/quarantine"
	"fennelyard/internal/schema"
	"fennelyard/internal/worktime"
)

// operatorHandler serves the platform's operator endpoints and, beside them, the product's
// own endpoints for suspect requests and the servers' software.
func (c *Control) operatorHandler() http.Handler {
	own := echo.New()
	operator.RegisterSuspects(own, operator.SuspectsConfig{List: c.suspects.List, Release: c.releaseSuspect, Log: c.cfg.Log.WithName("quarantine")})
	operator.RegisterSoftware(own, c.mirror.Software)
	mux := http.NewServeMux()
	for _, path := range []string{operator.SuspectsPath, operator.SuspectsPath + "/", operator.SoftwarePath} {
		mux.Handle(path, own)
	}
	mux.Handle("/", c.cfg.Handler(c))
	return mux
}

// kindNames returns the names of the kinds of servers that this host knows.
func (c *Control) kindNames() map[quarantine.Kind]string {
	out := map[quarantine.Kind]string{}
	for _, s := range c.mirror.Software() {
		out[quarantine.KindOf(s.GetPool(), s.GetVersion())] = quarantine.NameOf(s.GetPool(), s.GetVersion())
	}
	return out
}

// releaseSuspect releases a request that is held back, here and, as updates spread,
// everywhere.
func (c *Control) releaseSuspect(key quarantine.Key) bool {
	released := c.suspects.Clear(key)
	if released {
		c.subscribers.RequestReport()
	}
	return released
}

// mergeSuspects merges another host's records, and reports whether any of them is new here.
func (c *Control) mergeSuspects(list []*schema.Suspect, source quarantine.Source) bool {
	if len(list) == 0 {
		return false
	}
	defer c.work.Start(worktime.KindEvidence)()
	return c.suspects.Merge(list, source)
}

// nextSuspects returns the next records for another host.
func (c *Control) nextSuspects(r *quarantine.Reader) []*schema.Suspect {
	if c.suspects.Empty() {
		return nil
	}
	defer c.work.Start(worktime.KindEvidence)()
	return r.Next()
}

// restoreSuspects restores, once a term, the suspect requests that earlier leaders
// recorded.
func (c *Control) restoreSuspects(term uint64) {
	if c.restoredTerm.Swap(term) == term {
		return
	}
	var list []*schema.Suspect
	c.group.Ledger().View(func(_ ledger.Status, r *ledger.Records) { list = r.Suspects(time.Now()) })
	if len(list) == 0 {
		return
	}
	c.suspects.Merge(list, quarantine.SourceLog)
	c.cfg.Log.Info("suspects recalled", "count", len(list), "term", term)
}

func (c *Control) recordedSuspects() []*schema.KnownSuspect {
	var out []*schema.KnownSuspect
	c.group.Ledger().View(func(_ ledger.Status, r *ledger.Records) { out = r.KnownSuspects() })
	return out
}

// recordSuspects records the requests that are likely to crash their servers: entries and
// hosts know them, but may all lose power at once.
func (c *Control) recordSuspects() {
	c.restoreSuspects(c.group.Status().Term)
	changes := c.suspectChanges()
	if len(changes.GetSuspects())+len(changes.GetForgotten()) == 0 {
		return
	}
	err := c.commit(context.Background(), &schema.Command{Body: &schema.Command_RememberSuspects{RememberSuspects: changes}})
	c.cfg.Log.Info("suspects recorded", "come", len(changes.GetSuspects()), "gone", len(changes.GetForgotten()), "error", asynclog.ErrorText(err))
}

// suspectChanges returns the difference between the requests that are likely to crash their
// servers and the recorded ones.
func (c *Control) suspectChanges() *schema.RememberSuspects {
	recorded := map[string]*schema.Suspect{}
	for _, k := range c.recordedSuspects() {
		recorded[string(k.GetSuspect().GetKey())] = k.GetSuspect()
	}
	changes, now := &schema.RememberSuspects{}, time.Now().UnixMilli()
	for read := uint64(0); ; {
		list, to := c.suspects.Since(read, quarantine.PartLikely)
		if len(list) == 0 {
			break
		}
		read = to
		for _, s := range list {
			if !sameEndedServers(recorded[string(s.GetKey())], s) {
				changes.Suspects = append(changes.Suspects, &schema.KnownSuspect{Suspect: s, AtMs: now})
			}
			delete(recorded, string(s.GetKey()))
		}
	}
	for _, s := range recorded {
		changes.Forgotten = append(changes.Forgotten, bytes.Clone(s.GetKey()))
	}
	return changes
}

// sameEndedServers reports whether two records of a suspect list the same ended servers.
func sameEndedServers(one, other *schema.Suspect) bool {
	return slices.EqualFunc(one.GetEnded(), other.GetEnded(), func(a, b *schema.EndedServer) bool {
		return a.GetServer() == b.GetServer() && a.GetCleared() == b.GetCleared() && a.GetWeak() == b.GetWeak()
	})
}
