package control

import (
	"context"
	"sync"
	"time"

	"fennelyard/internal/schema"
)

const (
	transportQueueSize = 256
	maxBatchMessages   = 64
	snapshotTimeout    = 30 * time.Second
	minDeliverTimeout  = 200 * time.Millisecond
)

// transport sends consensus messages with one queue per address, so that a slow
// member does not delay the others.
type transport struct {
	cfg         Config
	unreachable func(id uint64)
	quit        chan struct{}
	wg          sync.WaitGroup

	// The fields below are guarded by mu.
	mu sync.Mutex
	// queues are by address.
	queues map[string]chan *schema.ConsensusMessage
	// addresses are by member id.
	addresses map[uint64]string
	stopped   bool
}

func newTransport(cfg Config, unreachable func(uint64)) *transport {
	return &transport{
		cfg: cfg, unreachable: unreachable, quit: make(chan struct{}),
		queues: map[string]chan *schema.ConsensusMessage{}, addresses: map[uint64]string{},
	}
}

// recordAddress records the address of a member that may not be in the local
// membership yet.
func (t *transport) recordAddress(id uint64, host, address string) {
	if t.cfg.Seeds != nil {
		t.mu.Lock()
		t.addresses[id] = address
		t.mu.Unlock()
		return
	}
	for _, h := range t.cfg.Hosts {
		if h.GetName() == host {
			t.mu.Lock()
			t.addresses[id] = h.GetPeerAddress()
			t.mu.Unlock()
			return
		}
	}
}

// send queues messages for a member. It never blocks; it drops messages if the queue
// is full.
func (t *transport) send(to *schema.Member, messages []*schema.ConsensusMessage) {
	for _, m := range messages {
		if m.GetKind() == schema.MessageKind_MESSAGE_KIND_SNAPSHOT {
			t.sendSnapshot(to, m)
			continue
		}
		q := t.queue(to)
		if q == nil {
			return
		}
		select {
		case q <- m:
		default:
		}
	}
}

func (t *transport) address(to *schema.Member) string {
	if to.GetAddress() != "" {
		return to.GetAddress()
	}
	return t.addresses[to.GetId()]
}

func (t *transport) queue(to *schema.Member) chan<- *schema.ConsensusMessage {
	t.mu.Lock()
	defer t.mu.Unlock()
	address := t.address(to)
	if address == "" || t.stopped {
		return nil
	}
	q, ok := t.queues[address]
	if !ok {
		q = make(chan *schema.ConsensusMessage, transportQueueSize)
		t.queues[address] = q
		t.wg.Add(1)
		go func() {
			defer t.wg.Done()
			t.run(address, q)
		}()
	}
	return q
}

func (t *transport) run(address string, q <-chan *schema.ConsensusMessage) {
	for {
		var batch []*schema.ConsensusMessage
		select {
		case <-t.quit:
			return
		case m := <-q:
			batch = append(batch, m)
		}
		for more := true; more && len(batch) < maxBatchMessages; {
			select {
			case m := <-q:
				batch = append(batch, m)
			default:
				more = false
			}
		}
		t.deliver(address, batch, max(t.cfg.ElectionTimeout/2, minDeliverTimeout))
	}
}

func (t *transport) deliver(address string, batch []*schema.ConsensusMessage, timeout time.Duration) {
	client, err := t.cfg.Dialer.Client(address)
	if err == nil {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		_, err = client.Deliver(ctx, &schema.Delivery{
			Group: t.cfg.Group, Messages: batch, Host: t.cfg.Self.GetName(), Address: t.cfg.Self.GetPeerAddress(),
		})
	}
	if err != nil {
		t.unreachable(batch[0].GetTo())
	}
}

// sendSnapshot sends a snapshot in a call of its own, so that heartbeats do not wait
// behind megabytes of data.
func (t *transport) sendSnapshot(to *schema.Member, m *schema.ConsensusMessage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	address := t.address(to)
	if address == "" || t.stopped {
		return
	}
	t.wg.Add(1)
	go func() {
		defer t.wg.Done()
		t.deliver(address, []*schema.ConsensusMessage{m}, snapshotTimeout)
	}()
}

func (t *transport) stop() {
	t.mu.Lock()
	t.stopped = true
	t.mu.Unlock()
	close(t.quit)
	t.wg.Wait()
}
