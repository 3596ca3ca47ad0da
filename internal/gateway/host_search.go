package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"fennelyard/internal/schema"
)

// maxSearchDoublings is how often the time between two queries of a search doubles, to
// minHostRetryInterval times 8: all entries may search at the same time, while no host has a leader.
const maxSearchDoublings = 3

// foundHostError ends the subscription to a control host because another one is in sync.
type foundHostError struct{ address string }

// Error implements error.
func (e *foundHostError) Error() string { return "the control host at " + e.address + " is in sync" }

// hostSearch asks control hosts in turn whether they are in sync with the leader, while the entry
// stays subscribed to another one: an entry that left it first would lose its place there, and
// cost two hosts a new stream, although no host may be in sync.
type hostSearch struct {
	cancel context.CancelFunc
	done   chan struct{}
}

// startSearch starts a search among control hosts, which queries each of them once or, with repeat,
// until one is in sync with a leader of at least the given term. found is called with that one.
func (s *subscriber) startSearch(ctx context.Context, term uint64, addresses []string, repeat bool, found func(address string)) *hostSearch {
	ctx, cancel := context.WithCancel(ctx)
	search := &hostSearch{cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(search.done)
		defer cancel()
		for query := 0; len(addresses) > 0; query++ {
			round := query / len(addresses)
			if round > 0 && !repeat {
				return
			}
			address := addresses[query%len(addresses)]
			if s.inSync(ctx, address, term, firstUpdateWait(round)) {
				found(address)
				return
			}
			select {
			case <-ctx.Done():
				return
			case <-time.After(searchInterval(query)):
			}
		}
	}()
	return search
}

// searchInterval returns the time after a query of a search until the next one. The first two follow
// each other quickly: if this entry's host alone is cut off, one of them finds another host.
func searchInterval(query int) time.Duration {
	interval := minHostRetryInterval << min(max(query-1, 0), maxSearchDoublings)
	return interval + rand.N(interval/2)
}

// inSync queries a control host. One that does not know the query may be in sync.
func (s *subscriber) inSync(ctx context.Context, address string, term uint64, timeout time.Duration) bool {
	client, err := s.g.cfg.Dialer.Client(address)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := client.InSync(ctx, &schema.InSyncRequest{Term: term})
	if err != nil {
		return status.Code(err) == codes.Unimplemented
	}
	return reply.GetInSync()
}

// stop stops a search; nil is none.
func (s *hostSearch) stop() {
	if s != nil {
		s.cancel()
		<-s.done
	}
}

// running reports whether a search goes on; nil is none.
func (s *hostSearch) running() bool {
	if s == nil {
		return false
	}
	select {
	case <-s.done:
		return false
	default:
		return true
	}
}
