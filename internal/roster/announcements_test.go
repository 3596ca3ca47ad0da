package roster_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/roster"
	"fennelyard/internal/schema"
)

// forwarding is a control host's forwarder and the leader's reader of its stream.
type forwarding struct {
	forwarder *roster.AnnouncementForwarder
	reader    *roster.AnnouncementReader
	clock     *clock
}

func newForwarding() *forwarding {
	c := &clock{now: time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)}
	return &forwarding{forwarder: roster.NewAnnouncementForwarder(c.time), reader: &roster.AnnouncementReader{}, clock: c}
}

// forward sends the pending announcements to the reader and returns what it read; full is
// the number sent with their content.
func (f *forwarding) forward() (read map[string]roster.Announcement, full int) {
	read = map[string]roster.Announcement{}
	for _, s := range f.forwarder.TakePending() {
		if s.GetWord() != nil {
			full++
		}
		if a, known := f.reader.Read(s, f.clock.now); known {
			read[a.ID] = a
		}
	}
	return read, full
}

func announcementWithModels(id string, sequence uint64, models ...string) roster.Announcement {
	a := announcement(id, id+":1", sequence)
	for _, m := range models {
		a.Loaded = append(a.Loaded, &schema.HeldModel{Name: m})
	}
	a.OnDisk = models
	return a
}

// Servers repeat the same announcement. The leader must receive each one with its sequence
// number and the time at which the host received it, although only a few bytes are sent.
func TestUnchangedAnnouncementIsForwardedInFewBytes(t *testing.T) {
	f := newForwarding()
	require.True(t, f.forwarder.Add(announcementWithModels("s", 1, "m")))
	read, full := f.forward()
	require.Equal(t, 1, full)
	require.Equal(t, uint64(1), read["s"].Sequence)
	f.clock.now = f.clock.now.Add(announceInterval)
	require.False(t, f.forwarder.Add(announcementWithModels("s", 2, "m")))
	received := f.clock.now
	f.clock.now = f.clock.now.Add(80 * time.Millisecond)
	read, full = f.forward()
	require.Zero(t, full)
	want := announcementWithModels("s", 2, "m")
	want.Received = received
	require.Equal(t, want, read["s"])
	// Nothing is pending for a server that has not announced itself since.
	read, _ = f.forward()
	require.Empty(t, read)
	require.True(t, f.forwarder.Add(announcementWithModels("s", 3, "m", "n")))
	read, full = f.forward()
	require.Equal(t, 1, full)
	require.Len(t, read["s"].Loaded, 2)
}

// An announcement is delayed on its way to the host and arrives after a later one.
func TestLateAnnouncementIsNotForwarded(t *testing.T) {
	f := newForwarding()
	require.True(t, f.forwarder.Add(announcementWithModels("s", 5, "m")))
	require.False(t, f.forwarder.Add(announcementWithModels("s", 4, "n")))
	read, _ := f.forward()
	require.Equal(t, []string{"m"}, read["s"].OnDisk)
}

// Another host becomes the leader. It must receive every server that announced itself
// within the last announcement interval at once, not a second later with the next
// announcement of each. A server that has been silent for longer is left out, as it may
// have ended.
func TestNewLeaderReceivesAllServersAtOnce(t *testing.T) {
	f := newForwarding()
	f.forwarder.Add(announcementWithModels("ended", 1, "m"))
	f.clock.now = f.clock.now.Add(announceInterval)
	f.forwarder.Add(announcementWithModels("s", 1, "m"))
	f.forward()
	f.clock.now = f.clock.now.Add(announceInterval / 2)
	f.reader = &roster.AnnouncementReader{}
	f.forwarder.Reset(announceInterval)
	read, full := f.forward()
	require.Equal(t, 1, full)
	require.Contains(t, read, "s")
	require.Equal(t, f.clock.now.Add(-announceInterval/2), read["s"].Received)
	// The silent server announces itself after all.
	f.forwarder.Add(announcementWithModels("ended", 2, "m"))
	read, full = f.forward()
	require.Equal(t, 1, full)
	require.Contains(t, read, "ended")
}

// A server pauses for longer than the host or the leader retains it. Whichever of the two
// has removed it, the leader must not accept a server without its content.
func TestServerThatPausedIsForwardedInFullAgain(t *testing.T) {
	f := newForwarding()
	f.forwarder.Add(announcementWithModels("s", 1, "m"))
	f.forward()
	f.clock.now = f.clock.now.Add(90 * time.Second)
	f.forward()
	f.forwarder.Add(announcementWithModels("s", 2, "m"))
	read, full := f.forward()
	require.Equal(t, 1, full)
	require.Equal(t, []string{"m"}, read["s"].OnDisk)
	_, known := (&roster.AnnouncementReader{}).Read(&schema.HeardServer{Id: "s", Sequence: 3}, f.clock.now)
	require.False(t, known)
}

// A name that no message between hosts can carry ends the streams of a leader to all hosts.
func TestNamesThatAreNoTextAreFoundInEveryField(t *testing.T) {
	const noText = "\xff"
	sound := func() roster.Announcement {
		return roster.Announcement{
			ID: "s@1", Pool: "p", Address: "a:1", DataCentre: "d", Software: "v1",
			Loaded: []*schema.HeldModel{{Name: "m", Adapters: []string{"a"}}}, InMemory: []string{"m"}, OnDisk: []string{"ü"},
		}
	}
	a := sound()
	require.True(t, a.IsText())
	for field, spoil := range map[string]func(a *roster.Announcement){
		"ID":         func(a *roster.Announcement) { a.ID = noText },
		"Pool":       func(a *roster.Announcement) { a.Pool += noText },
		"Address":    func(a *roster.Announcement) { a.Address += noText },
		"DataCentre": func(a *roster.Announcement) { a.DataCentre = noText },
		"Software":   func(a *roster.Announcement) { a.Software = noText + "1" },
		"model":      func(a *roster.Announcement) { a.Loaded[0].Name = noText },
		"adapter":    func(a *roster.Announcement) { a.Loaded[0].Adapters[0] = noText },
		"InMemory":   func(a *roster.Announcement) { a.InMemory[0] = noText },
		"OnDisk":     func(a *roster.Announcement) { a.OnDisk[0] = noText },
	} {
		a := sound()
		spoil(&a)
		require.False(t, a.IsText(), field)
	}
}
