package roster_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/roster"
	"fennelyard/internal/schema"
)

// listener is a control host that hears servers, and the leader that reads what it tells.
type listener struct {
	h *roster.AnnouncementForwarder
	r *roster.AnnouncementReader
	c *clock
}

func newListener() *listener {
	c := &clock{now: time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)}
	return &listener{h: roster.NewAnnouncementForwarder(func() time.Time { return c.now }), r: &roster.AnnouncementReader{}, c: c}
}

// tell has the host tell the leader; whole is how many words it needed in full.
func (l *listener) tell() (told map[string]roster.Announcement, whole int) {
	told = map[string]roster.Announcement{}
	for _, s := range l.h.TakePending() {
		if s.GetWord() != nil {
			whole++
		}
		if a, known := l.r.Read(s, l.c.now); known {
			told[a.ID] = a
		}
	}
	return told, whole
}

func holding(id string, sequence uint64, models ...string) roster.Announcement {
	a := word(id, id+":1", sequence)
	for _, m := range models {
		a.Loaded = append(a.Loaded, &schema.HeldModel{Name: m})
	}
	a.OnDisk = models
	return a
}

// Servers say the same again and again. The leader hears of each word as if it had been
// said to itself, with its number and the time at which it was said, for a few bytes.
func TestServerThatSaysTheSameIsToldInFewBytes(t *testing.T) {
	l := newListener()
	require.True(t, l.h.Add(holding("s", 1, "m")))
	told, whole := l.tell()
	require.Equal(t, 1, whole)
	require.Equal(t, uint64(1), told["s"].Sequence)
	l.c.now = l.c.now.Add(every)
	require.False(t, l.h.Add(holding("s", 2, "m")))
	said := l.c.now
	l.c.now = l.c.now.Add(80 * time.Millisecond)
	told, whole = l.tell()
	require.Zero(t, whole)
	want := holding("s", 2, "m")
	want.Received = said
	require.Equal(t, want, told["s"])
	// It has nothing to tell of a server that has said nothing since.
	told, _ = l.tell()
	require.Empty(t, told)
	require.True(t, l.h.Add(holding("s", 3, "m", "n")))
	told, whole = l.tell()
	require.Equal(t, 1, whole)
	require.Len(t, told["s"].Loaded, 2)
}

// A word is held up on its way to the host, and a later one comes first.
func TestLateWordToAHostIsNotToldOn(t *testing.T) {
	l := newListener()
	require.True(t, l.h.Add(holding("s", 5, "m")))
	require.False(t, l.h.Add(holding("s", 4, "n")))
	told, _ := l.tell()
	require.Equal(t, []string{"m"}, told["s"].OnDisk)
}

// Another host begins to lead. It is told at once of every server that has spoken within
// the time between two words of one, not a second later when each speaks again; of one
// that has been silent for longer nothing is said, as it may have ended.
func TestNewLeaderIsToldOfAllServersAtOnce(t *testing.T) {
	l := newListener()
	l.h.Add(holding("ended", 1, "m"))
	l.c.now = l.c.now.Add(every)
	l.h.Add(holding("s", 1, "m"))
	l.tell()
	l.c.now = l.c.now.Add(every / 2)
	l.r = &roster.AnnouncementReader{}
	l.h.Reset(every)
	told, whole := l.tell()
	require.Equal(t, 1, whole)
	require.Contains(t, told, "s")
	require.Equal(t, l.c.now.Add(-every/2), told["s"].Received)
	// It speaks again after all.
	l.h.Add(holding("ended", 2, "m"))
	told, whole = l.tell()
	require.Equal(t, 1, whole)
	require.Contains(t, told, "ended")
}

// A server pauses for longer than the host remembers it, or the leader does. Whatever each
// of them has forgotten, the leader never takes a server for known of which it has no word.
func TestServerThatPausesIsToldInFullAgain(t *testing.T) {
	l := newListener()
	l.h.Add(holding("s", 1, "m"))
	l.tell()
	l.c.now = l.c.now.Add(90 * time.Second)
	l.tell()
	l.h.Add(holding("s", 2, "m"))
	told, whole := l.tell()
	require.Equal(t, 1, whole)
	require.Equal(t, []string{"m"}, told["s"].OnDisk)
	_, known := (&roster.AnnouncementReader{}).Read(&schema.HeardServer{Id: "s", Sequence: 3}, l.c.now)
	require.False(t, known)
}
