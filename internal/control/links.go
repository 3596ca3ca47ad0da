package control

import (
	"context"
	"sync"
	"time"

	"fennelyard/internal/schema"
)

const (
	linkQueue       = 256
	linkBatch       = 64
	snapshotTimeout = 30 * time.Second
	minLinkTimeout  = 200 * time.Millisecond
)

// links sends consensus messages, with one queue per address, so that a slow
// member holds up no other.
type links struct {
	cfg         Config
	unreachable func(id uint64)
	quit        chan struct{}
	wg          sync.WaitGroup

	mu      sync.Mutex
	byAddr  map[string]chan *schema.ConsensusMessage
	learnt  map[uint64]string
	stopped bool
}

func newLinks(cfg Config, unreachable func(uint64)) *links {
	return &links{
		cfg: cfg, unreachable: unreachable, quit: make(chan struct{}),
		byAddr: map[string]chan *schema.ConsensusMessage{}, learnt: map[uint64]string{},
	}
}

// learn remembers where a member that no membership names here yet lives.
func (l *links) learn(id uint64, host, address string) {
	if l.cfg.Seeds != nil {
		l.mu.Lock()
		l.learnt[id] = address
		l.mu.Unlock()
		return
	}
	for _, h := range l.cfg.Hosts {
		if h.GetName() == host {
			l.mu.Lock()
			l.learnt[id] = h.GetPeerAddress()
			l.mu.Unlock()
			return
		}
	}
}

// send never blocks; it drops messages for a member that takes none.
func (l *links) send(to *schema.Member, messages []*schema.ConsensusMessage) {
	for _, m := range messages {
		if m.GetKind() == schema.MessageKind_MESSAGE_KIND_SNAPSHOT {
			l.sendSnapshot(to, m)
			continue
		}
		q := l.queue(to)
		if q == nil {
			return
		}
		select {
		case q <- m:
		default:
		}
	}
}

func (l *links) address(to *schema.Member) string {
	if to.GetAddress() != "" {
		return to.GetAddress()
	}
	return l.learnt[to.GetId()]
}

func (l *links) queue(to *schema.Member) chan<- *schema.ConsensusMessage {
	l.mu.Lock()
	defer l.mu.Unlock()
	address := l.address(to)
	if address == "" || l.stopped {
		return nil
	}
	q, ok := l.byAddr[address]
	if !ok {
		q = make(chan *schema.ConsensusMessage, linkQueue)
		l.byAddr[address] = q
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			l.run(address, q)
		}()
	}
	return q
}

func (l *links) run(address string, q <-chan *schema.ConsensusMessage) {
	for {
		var batch []*schema.ConsensusMessage
		select {
		case <-l.quit:
			return
		case m := <-q:
			batch = append(batch, m)
		}
		for more := true; more && len(batch) < linkBatch; {
			select {
			case m := <-q:
				batch = append(batch, m)
			default:
				more = false
			}
		}
		l.deliver(address, batch, max(l.cfg.Election/2, minLinkTimeout))
	}
}

func (l *links) deliver(address string, batch []*schema.ConsensusMessage, timeout time.Duration) {
	client, err := l.cfg.Dialer.Client(address)
	if err == nil {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		_, err = client.Deliver(ctx, &schema.Delivery{
			Group: l.cfg.Group, Messages: batch, Host: l.cfg.Self.GetName(), Address: l.cfg.Self.GetPeerAddress(),
		})
	}
	if err != nil {
		l.unreachable(batch[0].GetTo())
	}
}

// sendSnapshot has its own call: heartbeats must not wait behind megabytes.
func (l *links) sendSnapshot(to *schema.Member, m *schema.ConsensusMessage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	address := l.address(to)
	if address == "" || l.stopped {
		return
	}
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		l.deliver(address, []*schema.ConsensusMessage{m}, snapshotTimeout)
	}()
}

func (l *links) stop() {
	l.mu.Lock()
	l.stopped = true
	l.mu.Unlock()
	close(l.quit)
	l.wg.Wait()
}
