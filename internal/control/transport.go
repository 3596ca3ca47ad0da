package control

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

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

// run sends the messages of a queue to a member until the transport stops.
func (t *transport) run(address string, q <-chan *schema.ConsensusMessage) {
	m := &memberSender{t: t, address: address}
	defer m.close()
	for {
		var batch []*schema.ConsensusMessage
		select {
		case <-t.quit:
			return
		case <-m.ended():
			m.linkEnded()
			continue
		case message := <-q:
			batch = append(batch, message)
		}
		for more := true; more && len(batch) < maxBatchMessages; {
			select {
			case message := <-q:
				batch = append(batch, message)
			default:
				more = false
			}
		}
		m.send(batch)
	}
}

// memberSender sends messages to one member over a link, or with a call for each batch to a member
// without streams of deliveries. It belongs to one goroutine.
type memberSender struct {
	t       *transport
	address string
	// link is nil until the first message and after it has ended.
	link *link
	// calls is set for a member without streams of deliveries.
	calls bool
	// to is the member that was sent to last.
	to uint64
}

func (m *memberSender) send(batch []*schema.ConsensusMessage) {
	m.to = batch[0].GetTo()
	if m.calls {
		// A member that has restarted may have streams of deliveries.
		m.calls = m.t.deliver(m.address, batch, max(m.t.cfg.ElectionTimeout/2, minDeliverTimeout))
		return
	}
	if m.link == nil && !m.open() {
		m.t.unreachable(m.to)
		return
	}
	if err := m.link.send(m.t.delivery(batch)); err != nil {
		<-m.link.done
		m.linkEnded()
	}
}

// open opens the link, and reports whether it is open.
func (m *memberSender) open() bool {
	client, err := m.t.cfg.Dialer.Client(m.address)
	if err != nil {
		return false
	}
	m.link, err = openLink(client, max(m.t.cfg.ElectionTimeout, minDeliverTimeout))
	if errors.Is(err, errNoReplies) {
		m.t.cfg.Dialer.Reset(m.address)
	}
	return err == nil
}

// linkEnded handles the end of the link. Messages on it may be lost.
func (m *memberSender) linkEnded() {
	err := m.link.err
	m.close()
	switch {
	case status.Code(errors.UnwrapAll(err)) == codes.Unimplemented:
		m.calls = true
	case errors.Is(err, errNoReplies):
		// A device between the hosts may have dropped its state of the connection.
		m.t.cfg.Dialer.Reset(m.address)
	}
	m.t.unreachable(m.to)
}

// ended returns a channel that is closed when the link has ended, nil if there is none.
func (m *memberSender) ended() <-chan struct{} {
	if m.link == nil {
		return nil
	}
	return m.link.done
}

func (m *memberSender) close() {
	if m.link != nil {
		m.link.close()
		m.link = nil
	}
}

func (t *transport) delivery(batch []*schema.ConsensusMessage) *schema.Delivery {
	return &schema.Delivery{Group: t.cfg.Group, Messages: batch, Host: t.cfg.Self.GetName(), Address: t.cfg.Self.GetPeerAddress()}
}

// deliver sends messages with a call, and reports whether it succeeded.
func (t *transport) deliver(address string, batch []*schema.ConsensusMessage, timeout time.Duration) bool {
	client, err := t.cfg.Dialer.Client(address)
	if err == nil {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		_, err = client.Deliver(ctx, t.delivery(batch))
	}
	if err != nil {
		t.unreachable(batch[0].GetTo())
	}
	return err == nil
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
