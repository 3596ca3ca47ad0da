package entry

import (
	"context"
	"net"

	"fennelyard/internal/gossip"
	"fennelyard/internal/quarantine"
	"fennelyard/internal/routing"
	"fennelyard/internal/schema"
)

// dial returns how this host connects to backend servers and to other entries.
func (e *Entry) dial() func(ctx context.Context, address string) (net.Conn, error) {
	if e.cfg.Dial == nil {
		return routing.Dial
	}
	return e.cfg.Dial
}

// startGossip exchanges evidence on harmful requests with the other entries directly: without a quorum
// nothing is recorded in the log.
func (e *Entry) startGossip() {
	e.gossipClient = gossip.NewClient(e.dial())
	e.gossip = gossip.New(gossip.Config{
		Self: e.cfg.Self.GetBackendAddress(), Entries: e.otherEntries, Suspects: e.guard.Suspects(), Merge: e.mergeSuspects,
		Exchange: e.gossipClient.Exchange, Random: e.cfg.Random, Log: e.cfg.Log.WithName("gossip"),
	})
}

// otherEntries returns the addresses at which the other listed hosts take messages, whether they are
// available or not.
func (e *Entry) otherEntries() []string {
	var out []string
	for _, h := range e.cfg.Settings.GetHosts() {
		if h.GetBackendAddress() != "" && h.GetName() != e.cfg.Self.GetName() {
			out = append(out, h.GetBackendAddress())
		}
	}
	return out
}

// mergeSuspects merges the suspects of another entry, which may be unable to record them.
func (e *Entry) mergeSuspects(list []*schema.Suspect) {
	e.guard.Merge(list, quarantine.SourceEntry)
	e.requestRecording()
}
