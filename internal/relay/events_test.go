package relay_test

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/relay"
)

func readAll(in io.Reader) (string, error) {
	events := relay.NewEventReader(in)
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
		require.True(t, got == "" || strings.HasSuffix(got, "\n\n") || strings.HasSuffix(got, "\r\n\r\n"))
	})
}
