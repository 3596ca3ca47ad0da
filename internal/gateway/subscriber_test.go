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

type attendStream = grpc.BidiStreamingServer[schema.EntryNews, schema.LeaderNews]

// newLeader answers entries on loopback.
func newLeader(t *testing.T, attend func(attendStream) error) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := peer.NewServer(peer.ServerConfig{Listener: l, Handlers: peer.Handlers{Attend: attend}})
	t.Cleanup(s.Stop)
	return l.Addr().String()
}

func attending(t *testing.T, seeds ...string) *gateway.Gateway {
	t.Helper()
	dialer := peer.NewDialer(peer.DialerConfig{})
	t.Cleanup(dialer.Close)
	return gateway.New(gateway.Config{
		Self: &schema.RosterEntry{Host: "e", CallerAddress: "127.0.0.1:1"}, Seeds: func() []string { return seeds }, Dialer: dialer,
		Replica: ledger.NewReplica(), Sender: relay.NewSender(relay.Config{}), Codec: codec(), Log: logr.Discard(), RequestLog: logr.Discard(),
	})
}

// encoded is a configuration as the leader sends it.
func encoded(c *schema.Changes) []byte {
	data, err := proto.Marshal(c)
	if err != nil {
		panic(err)
	}
	return data
}

// beats tells an entry a configuration and then speaks every few milliseconds.
func beats(stream attendStream) error {
	news := &schema.LeaderNews{Changes: encoded(configuration(3, routes()...))}
	for {
		if err := stream.Send(news); err != nil {
			return err
		}
		news = &schema.LeaderNews{}
		select {
		case <-stream.Context().Done():
			return nil
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// An entry stops while its leader speaks on. The process must end at once: it
// once waited for the leader's silence and was killed at the end of its time.
func TestStopWhileTheLeaderSpeaks(t *testing.T) {
	g := attending(t, newLeader(t, beats))
	require.Eventually(t, g.Ready, 20*time.Second, 5*time.Millisecond)
	g.Close()
}

// The first host asked names the leader, which is no seed. The entry goes there.
func TestEntryFollowsToTheLeader(t *testing.T) {
	leader := newLeader(t, beats)
	other := newLeader(t, func(s attendStream) error {
		return s.Send(&schema.LeaderNews{NotLeader: true, LeaderAddress: leader})
	})
	g := attending(t, other)
	defer g.Close()
	require.Eventually(t, g.Ready, 20*time.Second, 5*time.Millisecond)
	require.Equal(t, int64(3), g.State().Version)
}

// The leader falls silent while its connection stays open, as behind a partition
// or a device that lost track of it. The entry goes to the next control host and
// gets what is newer there.
func TestEntryLeavesASilentLeader(t *testing.T) {
	silent := newLeader(t, func(s attendStream) error {
		if err := s.Send(&schema.LeaderNews{Changes: encoded(configuration(2, routes()...))}); err != nil {
			return err
		}
		<-s.Context().Done()
		return nil
	})
	g := attending(t, silent, newLeader(t, beats))
	defer g.Close()
	require.Eventually(t, func() bool { return g.State().Version == 3 }, 20*time.Second, 5*time.Millisecond)
}

// A host without power does not answer at all. It costs callers a moment while
// all are asked the first time, and more only where every host is slow.
func TestFirstWordOfSilentHosts(t *testing.T) {
	for around, want := range []time.Duration{150, 300, 600, 1200, 1200} {
		require.Equal(t, want*time.Millisecond, gateway.FirstWordWait(around), around)
	}
}
