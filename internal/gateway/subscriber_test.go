package gateway_test

import (
	"net"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"fennelyard/internal/gateway"
	"fennelyard/internal/ledger"
	"fennelyard/internal/peer"
	"fennelyard/internal/relay"
	"fennelyard/internal/schema"
)

type subscriptionStream = grpc.BidiStreamingServer[schema.EntryNews, schema.LeaderNews]

// newControlHost starts a control host on the loopback interface that serves subscriptions.
func newControlHost(t *testing.T, subscribe func(subscriptionStream) error) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := peer.NewServer(peer.ServerConfig{Listener: l, Handlers: peer.Handlers{Attend: subscribe}})
	t.Cleanup(s.Stop)
	return l.Addr().String()
}

func newSubscribingGateway(t *testing.T, seeds ...string) *gateway.Gateway {
	t.Helper()
	return newSubscribingGatewayWithLog(t, logr.Discard(), seeds...)
}

func newSubscribingGatewayWithLog(t *testing.T, log logr.Logger, seeds ...string) *gateway.Gateway {
	t.Helper()
	dialer := peer.NewDialer(peer.DialerConfig{})
	t.Cleanup(dialer.Close)
	return gateway.New(gateway.Config{
		Self: &schema.RosterEntry{Host: "e", CallerAddress: "127.0.0.1:1"}, Seeds: func() []string { return seeds }, Dialer: dialer,
		Replica: ledger.NewReplica(), Sender: relay.NewSender(relay.Config{}), Codec: codec(), Log: log, RequestLog: logr.Discard(),
	})
}

// encodeChanges encodes configuration changes as in an update of the leader.
func encodeChanges(c *schema.Changes) []byte {
	data, err := proto.Marshal(c)
	if err != nil {
		panic(err)
	}
	return data
}

// sendUpdates sends a configuration and then an empty update every 20 ms.
func sendUpdates(stream subscriptionStream) error {
	update := &schema.LeaderNews{Changes: encodeChanges(configuration(3, routes()...))}
	for {
		if err := stream.Send(update); err != nil {
			return err
		}
		update = &schema.LeaderNews{}
		select {
		case <-stream.Context().Done():
			return nil
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// An entry stops while its control host keeps sending updates. Close must return at once: if it
// waits until the host is silent, the process is killed at the end of its stop timeout.
func TestCloseDuringUpdates(t *testing.T) {
	g := newSubscribingGateway(t, newControlHost(t, sendUpdates))
	require.Eventually(t, g.Ready, 20*time.Second, 5*time.Millisecond)
	g.Close()
}

// The first host refuses the entry and names the leader, which is not a seed. The entry
// subscribes there.
func TestEntryFollowsLeaderHint(t *testing.T) {
	leader := newControlHost(t, sendUpdates)
	other := newControlHost(t, func(s subscriptionStream) error {
		return s.Send(&schema.LeaderNews{NotLeader: true, LeaderAddress: leader})
	})
	g := newSubscribingGateway(t, other)
	defer g.Close()
	require.Eventually(t, g.Ready, 20*time.Second, 5*time.Millisecond)
	require.Equal(t, int64(3), g.State().Version)
}

// A control host becomes silent while its connection stays open, as behind a partition or a
// network device that lost the connection's state. The entry moves to the next control host and
// receives the newer configuration there.
func TestEntryLeavesSilentControlHost(t *testing.T) {
	silent := newControlHost(t, func(s subscriptionStream) error {
		if err := s.Send(&schema.LeaderNews{Changes: encodeChanges(configuration(2, routes()...))}); err != nil {
			return err
		}
		<-s.Context().Done()
		return nil
	})
	g := newSubscribingGateway(t, silent, newControlHost(t, sendUpdates))
	defer g.Close()
	require.Eventually(t, func() bool { return g.State().Version == 3 }, 20*time.Second, 5*time.Millisecond)
}

// A host without power does not respond at all. It delays callers only briefly in the first
// round over all hosts, and longer only if every host is slow.
func TestFirstUpdateTimeout(t *testing.T) {
	for failedRounds, want := range []time.Duration{150, 300, 600, 1200, 1200} {
		require.Equal(t, want*time.Millisecond, gateway.FirstUpdateWait(failedRounds), failedRounds)
	}
}
