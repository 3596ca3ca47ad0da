package memory_test

import (
	"io"
	"math"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"fennelyard/internal/memory"
)

// For any length, stated or not, what is read is the beginning of the body, its end is known if it was reached, and
// no more is taken than there is.
func TestBodiesWithinABudget(t *testing.T) {
	const budget = 4 * memory.FreeBytes
	for _, size := range []int{0, 1, 511, 512, 513, memory.FreeBytes - 1, memory.FreeBytes, memory.FreeBytes + 1, budget, 3 * budget} {
		body := strings.Repeat("0123456789", size/10+1)[:size]
		for _, limit := range []int64{1, 1000, memory.FreeBytes, budget, math.MaxInt32} {
			for _, length := range []int64{-1, int64(size)} {
				for _, in := range []io.Reader{strings.NewReader(body), iotest.HalfReader(strings.NewReader(body)), iotest.DataErrReader(strings.NewReader(body))} {
					b := memory.NewBudget(memory.Config{Bytes: budget})
					share := b.NewShare()
					data, ended, err := share.Read(in, length, limit)
					require.NoError(t, err)
					require.LessOrEqual(t, b.Most(), int64(budget))
					require.LessOrEqual(t, int64(len(data)), limit)
					require.Equal(t, body[:len(data)], string(data))
					if ended {
						require.Len(t, data, size)
					}
					if int64(size) < limit && size < memory.FreeBytes {
						require.True(t, ended, "%d %d %d", size, limit, length)
					}
					share.Release()
					require.Zero(t, b.Used())
				}
			}
		}
	}
}

// Bodies that are held leave others what is left, and what they have taken is there again once they are
// released.
func TestBodiesShareABudget(t *testing.T) {
	b := memory.NewBudget(memory.Config{Bytes: 5 * memory.FreeBytes})
	read := func() (*memory.Share, bool) {
		s := b.NewShare()
		_, ended, err := s.Read(strings.NewReader(strings.Repeat("a", 2*memory.FreeBytes)), 2*memory.FreeBytes, math.MaxInt32)
		require.NoError(t, err)
		return s, ended
	}
	first, ended := read()
	require.True(t, ended)
	_, ended = read()
	require.False(t, ended)
	require.Equal(t, int64(1), b.Denied())
	first.Release()
	first.Release()
	_, ended = read()
	require.True(t, ended)
}

// Short bodies of unknown length are refused while long ones take all memory.
func TestShortBodiesNeedNoBudget(t *testing.T) {
	b := memory.NewBudget(memory.Config{Bytes: 3 * memory.FreeBytes})
	_, ended, err := b.NewShare().Read(strings.NewReader(strings.Repeat("a", 8*memory.FreeBytes)), -1, math.MaxInt32)
	require.NoError(t, err)
	require.False(t, ended)
	require.NotZero(t, b.Used())
	for _, length := range []int64{-1, memory.FreeBytes - 1} {
		data, ended, err := b.NewShare().Read(strings.NewReader(strings.Repeat("a", memory.FreeBytes-1)), length, math.MaxInt32)
		require.NoError(t, err)
		require.True(t, ended, "length %d", length)
		require.Len(t, data, memory.FreeBytes-1)
	}
}

// A body that breaks off is an error and not an end.
func TestBodyThatBreaksOff(t *testing.T) {
	broken := errors.New("broken")
	_, ended, err := memory.NewBudget(memory.Config{}).NewShare().Read(io.MultiReader(strings.NewReader("ab"), iotest.ErrReader(broken)), 3, 10)
	require.ErrorIs(t, err, broken)
	require.False(t, ended)
}
