package relay_test

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/bound"
	"fennelyard/internal/relay"
)

func readAll(in io.Reader) (string, error) {
	events := relay.NewEventReader(relay.EventReaderConfig{In: in})
	defer events.Close()
	var out bytes.Buffer
	for {
		b, err := events.Next()
		if err != nil {
			return out.String(), err
		}
		out.Write(b)
	}
}

func TestOnlyCompleteEvents(t *testing.T) {
	for name, test := range map[string]struct {
		in, want string
		err      error
	}{
		"complete":        {"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", io.EOF},
		"truncated":       {"id: 1\ndata: a\n\nid: 2\nda", "id: 1\ndata: a\n\n", relay.ErrPartialEvent},
		"mixed line ends": {"id: 1\n\r\nid: 2\r\n\nid", "id: 1\n\r\nid: 2\r\n\n", relay.ErrPartialEvent},
		"carriage return": {"id: 1\r\n\r\n", "id: 1\r\n\r\n", io.EOF},
		"empty":           {"", "", io.EOF},
		"longer event":    {"data: " + strings.Repeat("x", 9000) + "\n\n", "data: " + strings.Repeat("x", 9000) + "\n\n", io.EOF},
	} {
		t.Run(name, func(t *testing.T) {
			for _, in := range []io.Reader{strings.NewReader(test.in), iotest.OneByteReader(strings.NewReader(test.in))} {
				got, err := readAll(in)
				require.ErrorIs(t, err, test.err)
				require.Equal(t, test.want, got)
			}
		})
	}
}

// A large event waits for its memory before more is read, and gives it back once it has been forwarded, also if the
// stream goes on or breaks off.
func TestLargeEventsReserveMemory(t *testing.T) {
	large := "data: " + strings.Repeat("x", 3*bound.SmallEventBytes) + "\n\n"
	small := "data: y\n\n"
	for name, test := range map[string]struct {
		in                string
		reserved, heldAny int
	}{
		"small events":                 {strings.Repeat(small, 9000), 0, 0},
		"a large one among small ones": {small + large + strings.Repeat(small, 9000), 1, 0},
		"two large ones":               {large + strings.Repeat(small, 9000) + large + strings.Repeat(small, 9000), 2, 0},
		"a large one that breaks off":  {small + large[:len(large)-2], 1, 1},
		"a large one at the very end":  {small + large, 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			reserved, held := 0, 0
			events := relay.NewEventReader(relay.EventReaderConfig{In: strings.NewReader(test.in), Reserve: func() (func(), error) {
				reserved, held = reserved+1, held+1
				return func() { held-- }, nil
			}})
			var got strings.Builder
			for {
				b, err := events.Next()
				if err != nil {
					break
				}
				got.Write(b)
			}
			require.True(t, strings.HasPrefix(test.in, got.String()))
			require.Equal(t, test.reserved, reserved)
			require.Equal(t, test.heldAny, held)
			events.Close()
			events.Close()
			require.Zero(t, held)
		})
	}
}

// A stream whose request ends while a large event waits for memory is interrupted.
func TestLargeEventWithoutMemory(t *testing.T) {
	events := relay.NewEventReader(relay.EventReaderConfig{
		In: strings.NewReader(strings.Repeat("x", bound.EventBytes)), Reserve: func() (func(), error) { return nil, context.Canceled },
	})
	defer events.Close()
	_, err := events.Next()
	require.ErrorIs(t, err, relay.ErrInterrupted)
}

func TestEventIDs(t *testing.T) {
	first, last, ok := relay.EventIDs([]byte("id: 3\ndata: x\n\nid:4\n\n"))
	require.True(t, ok)
	require.Equal(t, []int64{3, 4}, []int64{first, last})
	_, _, ok = relay.EventIDs([]byte("data: x\n\n"))
	require.False(t, ok)
	_, _, ok = relay.EventIDs([]byte("id: x\n\n"))
	require.False(t, ok)
}

// For any input, the bytes returned are a prefix of the input that ends with a
// complete event.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\n\nid: 2\n\n"))
	f.Add([]byte("\n\n\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		got, _ := readAll(iotest.HalfReader(bytes.NewReader(in)))
		require.True(t, bytes.HasPrefix(in, []byte(got)))
		require.True(t, got == "" || strings.HasSuffix(got, "\n\n") || strings.HasSuffix(got, "\n\r\n"))
	})
}
