package control_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"fennelyard/internal/control"
	"fennelyard/internal/peer"
	"fennelyard/internal/schema"
	"fennelyard/internal/standin"
)

const receiverAddress = "10.0.0.2:7000"

// receiver is a control host that records when messages arrive, by their index.
type receiver struct {
	mu      sync.Mutex
	arrived map[uint64]time.Time
}

func (r *receiver) record(q *schema.Delivery) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range q.GetMessages() {
		r.arrived[m.GetIndex()] = time.Now()
	}
}

// arrival returns when a message arrived; ok is false if it has not.
func (r *receiver) arrival(index uint64) (at time.Time, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok = r.arrived[index]
	return at, ok
}

func (r *receiver) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.arrived)
}

func (r *receiver) handlers(streams bool) peer.Handlers {
	h := peer.Handlers{Deliver: func(_ context.Context, q *schema.Delivery) (*schema.DeliveryReply, error) {
		r.record(q)
		return &schema.DeliveryReply{}, nil
	}}
	if streams {
		h.DeliverAll = func(stream grpc.BidiStreamingServer[schema.Delivery, schema.DeliveryReply]) error {
			for {
				q, err := stream.Recv()
				if err != nil {
					return nil
				}
				r.record(q)
				if err := stream.Send(&schema.DeliveryReply{}); err != nil {
					return err
				}
			}
		}
	}
	return h
}

// transportTest is a transport on a simulated network with a receiver.
type transportTest struct {
	t           *testing.T
	network     *standin.Network
	receiver    *receiver
	transport   control.Transport
	mu          sync.Mutex
	unreachable int
	dials       int
	sent        uint64
}

func newTransportTest(t *testing.T, streams bool) *transportTest {
	tt := &transportTest{t: t, network: standin.NewNetwork(), receiver: &receiver{arrived: map[uint64]time.Time{}}}
	l, err := tt.network.Listen("tcp", receiverAddress)
	require.NoError(t, err)
	server := peer.NewServer(peer.ServerConfig{Listener: l, Handlers: tt.receiver.handlers(streams)})
	dial := tt.network.DialFrom("10.0.0.1")
	dialer := peer.NewDialer(peer.DialerConfig{Dial: func(ctx context.Context, address string) (net.Conn, error) {
		tt.mu.Lock()
		tt.dials++
		tt.mu.Unlock()
		return dial(ctx, address)
	}})
	tt.transport = control.NewTransport(control.Config{
		Self: &schema.HostSettings{Name: "a"}, Dialer: dialer, ElectionTimeout: 600 * time.Millisecond, Log: logr.Discard(),
		Seeds: func() []string { return nil },
	}, func(uint64) {
		tt.mu.Lock()
		defer tt.mu.Unlock()
		tt.unreachable++
	})
	t.Cleanup(func() {
		tt.transport.Stop()
		dialer.Close()
		server.Stop()
	})
	return tt
}

func (tt *transportTest) unreachableCount() int {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	return tt.unreachable
}

func (tt *transportTest) send() uint64 {
	tt.sent++
	tt.transport.Send(&schema.Member{Id: 2, Address: receiverAddress}, &schema.ConsensusMessage{To: 2, Index: tt.sent})
	return tt.sent
}

// Messages to a member waited for the reply to the ones before, so that a change of the log took
// several round trips between hosts that are short of processor time.
func TestMessagesDoNotWaitForEarlierReplies(t *testing.T) {
	const delay = 100 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		tt := newTransportTest(t, true)
		tt.send()
		time.Sleep(time.Second)
		tt.network.SetDelay(delay)
		sentAt := map[uint64]time.Time{}
		for range 50 {
			sentAt[tt.send()] = time.Now()
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(time.Second)
		for index, at := range sentAt {
			arrived, ok := tt.receiver.arrival(index)
			require.True(t, ok, index)
			require.LessOrEqual(t, arrived.Sub(at), delay+10*time.Millisecond, index)
		}
		require.Zero(t, tt.unreachableCount())
	})
}

// A member of an earlier version has no streams of deliveries, and gets each batch by a call.
func TestMembersWithoutStreamsReceiveMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tt := newTransportTest(t, false)
		for range 20 {
			tt.send()
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(time.Second)
		// The first messages were lost with the attempt to open a stream, as on a bad network.
		require.GreaterOrEqual(t, tt.receiver.count(), 18)
	})
}

// A member whose connection no longer passes replies on is reported, and its messages go by a new
// connection, well before the next election.
func TestConnectionWithoutRepliesIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tt := newTransportTest(t, true)
		tt.send()
		time.Sleep(time.Second)
		require.Equal(t, 1, tt.receiver.count())
		tt.network.Cut("10.0.0.2", "10.0.0.1", true)
		tt.send()
		time.Sleep(700 * time.Millisecond)
		require.Equal(t, 1, tt.unreachableCount())
		tt.network.Cut("10.0.0.2", "10.0.0.1", false)
		time.Sleep(100 * time.Millisecond)
		index := tt.send()
		time.Sleep(500 * time.Millisecond)
		_, arrived := tt.receiver.arrival(index)
		require.True(t, arrived)
		require.Equal(t, 1, tt.unreachableCount())
	})
}

// A host without power is dialled again after each election timeout: a connection attempt that hangs
// would otherwise keep it from an election for a second after it has returned.
func TestHostWithoutPowerIsDialledAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tt := newTransportTest(t, true)
		tt.network.PowerOff("10.0.0.2")
		for range 30 {
			tt.send()
			time.Sleep(100 * time.Millisecond)
		}
		tt.mu.Lock()
		defer tt.mu.Unlock()
		require.GreaterOrEqual(t, tt.dials, 4)
	})
}
