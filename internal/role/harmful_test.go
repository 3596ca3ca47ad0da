package role_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// heldBackIn is after how long at the most a request that has ended three servers
	// reaches no server any more from an entry in touch.
	heldBackIn = 3 * time.Second
	// retriesAllowed is how often it may reach one later all the same.
	retriesAllowed = 3
	// repeatEvery is how often its caller repeats it.
	repeatEvery = 200 * time.Millisecond
)

// repeated is how a harmful request and ordinary ones fared.
type repeated struct {
	// harmful and ordinary are the last replies of each.
	harmful  reply
	ordinary []reply
}

// repeat has the harmful request come again and again, at one entry after the other, with
// an ordinary request of another body beside each.
func (s *site) repeat(length time.Duration, path string) repeated {
	entries := make([]string, 0, len(s.entries))
	for ip := range s.entries {
		entries = append(entries, ip)
	}
	slices.Sort(entries)
	var out repeated
	for i, began := 0, time.Now(); time.Since(began) < length; i++ {
		at := entries[i%len(entries)]
		out.harmful = s.call(at, path, harmful)
		out.ordinary = append(out.ordinary, s.call(at, path, fmt.Sprint("ordinary ", i)))
		time.Sleep(repeatEvery)
	}
	return out
}

// A caller repeats a request under which every server ends that begins to run it, at one
// entry after the other. Each repeat is a new request to the entry that it comes to, which
// sends it to a server that is left: the servers end one after the other, and what ran
// beside it breaks off, for as long as the caller goes on. Three servers must be enough to
// know it by, though no entry sees more than one of them end; all else is served.
func TestRequestThatEndsItsServersIsHeldBack(t *testing.T) {
	for _, path := range []string{"/once/x", "/again/x"} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := treeSite(t, 31, 3)
				defer s.close()
				b := startBackends(s, 12)
				defer b.close()
				s.repeat(10*time.Second, path)
				got := s.repeat(5*time.Second, path)
				t.Logf("%d servers ended, %d retries later", b.endedUnder(), b.sentAfter(heldBackIn))
				require.GreaterOrEqual(t, b.endedUnder(), 3)
				require.LessOrEqual(t, b.sentAfter(heldBackIn), retriesAllowed, "%d servers ended", b.endedUnder())
				require.Equal(t, 503, got.harmful.status)
				require.Positive(t, got.harmful.after)
				for _, r := range got.ordinary {
					require.Equal(t, 200, r.status)
				}
			})
		})
	}
}
