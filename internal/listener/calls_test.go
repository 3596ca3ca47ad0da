package listener_test

import (
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
	"golang.org/x/net/http2"

	"fennelyard/internal/listener"
)

// callPort is a port for calls whose server reads all and answers nothing.
type callPort struct {
	t        *testing.T
	budget   *listener.Budget
	listener *listener.Listener

	mu sync.Mutex
	// reasons counts closed connections; guarded by mu.
	reasons map[listener.Reason]int
}

func newCallPort(t *testing.T, limit int, partialBytes int64) *callPort {
	p := &callPort{t: t, reasons: map[listener.Reason]int{}}
	p.budget = listener.NewBudget(listener.BudgetConfig{
		Descriptors: 64, HeadBytes: partialBytes, MessageBytes: partialBytes, Log: logr.Discard(),
		OnClosed: func(_ listener.Port, r listener.Reason) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.reasons[r]++
		},
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p.listener = p.budget.ListenCalls(l, listener.PortConfig{Port: listener.PortHosts, Share: listener.Share{Descriptors: (float64(limit) + 0.5) / 60}})
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			conn, err := p.listener.Accept()
			if err != nil {
				return
			}
			wg.Go(func() {
				_, _ = io.Copy(io.Discard, conn)
				_ = conn.Close()
			})
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		wg.Wait()
	})
	return p
}

func (p *callPort) count(r listener.Reason) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reasons[r]
}

func (p *callPort) used() (bytes float64) {
	p.budget.RegisterGauges(func(name, _ string, read func() float64) {
		if name == "message_bytes" {
			bytes = read()
		}
	})
	return bytes
}

func (p *callPort) dial() net.Conn {
	p.t.Helper()
	conn, err := net.Dial("tcp", p.listener.Addr().String())
	require.NoError(p.t, err)
	p.t.Cleanup(func() { _ = conn.Close() })
	require.NoError(p.t, conn.SetDeadline(time.Now().Add(testTimeout)))
	return conn
}

// frames returns the bytes of a client's connection.
func frames(t *testing.T, write func(f *http2.Framer)) []byte {
	t.Helper()
	out := bytes.NewBufferString(http2.ClientPreface)
	f := http2.NewFramer(out, nil)
	require.NoError(t, f.WriteSettings())
	write(f)
	return out.Bytes()
}

// message returns the first sent bytes of a message of a length.
func message(length, sent int) []byte {
	return append(binary.BigEndian.AppendUint32([]byte{0}, uint32(length)), make([]byte, sent)...)
}

func requireClosed(t *testing.T, conn net.Conn) {
	t.Helper()
	_, err := conn.Read(make([]byte, 1))
	require.Error(t, err)
	require.NotErrorIs(t, err, os.ErrDeadlineExceeded, "the connection is open")
}

// Messages take memory until they have arrived in full, in however many frames and pieces, or their call has ended.
func TestMessagesTakeMemoryUntilTheyHaveArrived(t *testing.T) {
	const size = 50_000
	for name, test := range map[string]struct {
		write func(f *http2.Framer) error
		taken float64
	}{
		"no message": {func(f *http2.Framer) error { return f.WriteData(1, false, nil) }, 0},
		"a part":     {func(f *http2.Framer) error { return f.WriteData(1, false, message(2*size, size)) }, size + 8<<10},
		"whole":      {func(f *http2.Framer) error { return f.WriteData(1, false, message(size, size)) }, 0},
		"last frame": {func(f *http2.Framer) error { return f.WriteData(1, true, message(2*size, size)) }, 0},
		"two messages": {func(f *http2.Framer) error {
			return f.WriteData(1, false, append(message(100, 100), message(2*size, size)...))
		}, size},
		"reset": {func(f *http2.Framer) error {
			if err := f.WriteData(1, false, message(2*size, size)); err != nil {
				return err
			}
			return f.WriteRSTStream(1, http2.ErrCodeCancel)
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			text := frames(t, func(f *http2.Framer) {
				require.NoError(t, f.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: []byte("fields"), EndHeaders: true}))
				require.NoError(t, test.write(f))
				require.NoError(t, f.WritePing(false, [8]byte{}))
			})
			for _, piece := range []int{1, 7, 1000, len(text)} {
				p := newCallPort(t, 8, 1<<20)
				conn := p.dial()
				for rest := text; len(rest) > 0; rest = rest[min(piece, len(rest)):] {
					_, err := conn.Write(rest[:min(piece, len(rest))])
					require.NoError(t, err)
				}
				require.Eventually(t, func() bool { return p.used() == test.taken }, testTimeout, time.Millisecond, "%v in pieces of %d", p.used(), piece)
				require.NoError(t, conn.Close())
				require.Eventually(t, func() bool { return p.used() == 0 && p.listener.Open() == 0 }, testTimeout, time.Millisecond)
			}
		})
	}
}

// Messages that do not end take a part of the memory together. A host that has sent whole messages is not kept out by them:
// the oldest gives way.
func TestPartialMessagesShareMemory(t *testing.T) {
	p := newCallPort(t, 32, 1<<20)
	text := func(first []byte) []byte {
		return frames(t, func(f *http2.Framer) {
			require.NoError(t, f.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: []byte("fields"), EndHeaders: true}))
			require.NoError(t, f.WriteData(1, false, first))
			require.NoError(t, f.WriteData(1, false, message(60<<20, 400<<10)))
		})
	}
	dial := func(text []byte) net.Conn {
		conn := p.dial()
		// A connection that is closed before it has read all of the text is reset.
		_, _ = conn.Write(text)
		return conn
	}
	var conns []net.Conn
	for i := range 2 {
		conns = append(conns, dial(text(nil)))
		require.Eventually(t, func() bool { return p.used() > float64(i+1)*(400<<10) }, testTimeout, time.Millisecond)
	}
	requireClosed(t, dial(text(nil)))
	require.Equal(t, 1, p.count(listener.ReasonPartial))
	_ = dial(text(message(10, 10)))
	requireClosed(t, conns[0])
	require.Equal(t, 2, p.count(listener.ReasonPartial))
	require.Equal(t, 2, p.listener.Open())
	require.LessOrEqual(t, p.used(), float64(1<<20))
}

// Calls that wait for their first message make room after a while, so that they keep no new host out.
func TestOldPartialMessagesGiveWay(t *testing.T) {
	p := newCallPort(t, 32, 1<<20)
	text := frames(t, func(f *http2.Framer) {
		for i := range 120 {
			require.NoError(t, f.WriteHeaders(http2.HeadersFrameParam{StreamID: uint32(2*i + 1), BlockFragment: []byte("fields"), EndHeaders: true}))
		}
	})
	first := p.dial()
	_, err := first.Write(text)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return p.used() == 120*8<<10 }, testTimeout, time.Millisecond)
	require.Eventually(t, func() bool {
		_, _ = p.dial().Write(text)
		return first.SetReadDeadline(time.Now().Add(10*time.Millisecond)) == nil && readEnds(first)
	}, testTimeout, 100*time.Millisecond)
}

// readEnds reports whether a connection has been closed by its other end.
func readEnds(conn net.Conn) bool {
	_, err := conn.Read(make([]byte, 1))
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// Connections without calls, and those whose last call is oldest, give way to new ones.
func TestConnectionsWithoutCallsAreReplacedFirst(t *testing.T) {
	p := newCallPort(t, 8, 1<<20)
	called := frames(t, func(f *http2.Framer) {
		for _, stream := range []uint32{1, 3} {
			require.NoError(t, f.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: []byte("fields"), EndHeaders: true}))
		}
	})
	host := p.dial()
	_, err := host.Write(called)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return p.used() > 0 }, testTimeout, time.Millisecond, "the calls have been read")
	for range 50 {
		_ = p.dial()
	}
	require.Eventually(t, func() bool { return p.count(listener.ReasonReplaced) == 43 }, testTimeout, time.Millisecond)
	require.NoError(t, host.SetReadDeadline(time.Now().Add(10*time.Millisecond)))
	_, err = host.Read(make([]byte, 1))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded, "the connection with a call stays open")
}

// Bytes that are no frames of a gRPC client end their connection.
func TestPaddedFramesAreRefused(t *testing.T) {
	p := newCallPort(t, 8, 1<<20)
	conn := p.dial()
	_, err := conn.Write(frames(t, func(f *http2.Framer) {
		require.NoError(t, f.WriteDataPadded(1, false, []byte("a"), make([]byte, 10)))
	}))
	require.NoError(t, err)
	requireClosed(t, conn)
	require.Equal(t, 1, p.count(listener.ReasonMalformed))
}
