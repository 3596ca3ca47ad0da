package ratelimit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/ratelimit"
)

// A limit that hosts send to each other must not outlive its last statement, nor the lowest one the
// responses that stated it.
func TestRejectionLimitsEndAlthoughHostsRepeatThem(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	a, b := ratelimit.NewRejectionLimits(), ratelimit.NewRejectionLimits()
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	exchange := func(now time.Time) {
		a.Merge(b.Messages(now), now)
		b.Merge(a.Messages(now), now)
	}
	require.True(t, a.Observe("p", 1, at(0)))
	for s := 0.5; s <= 12; s += 0.5 {
		if s < 8 {
			a.Observe("p", 4, at(s))
		}
		if s >= 8 {
			a.ObserveNone("p", at(s))
			b.ObserveNone("p", at(s))
		}
		exchange(at(s))
		for name, hosts := range map[string]*ratelimit.RejectionLimits{"a": a, "b": b} {
			got, ok := hosts.Limit("p", at(s))
			switch {
			case s <= 5:
				require.Equal(t, 1.0, got, "%s at %v", name, s)
			case s >= 6 && s <= 12:
				require.True(t, ok)
				require.Equal(t, 4.0, got, "%s at %v", name, s)
			}
		}
	}
	for s := 12.6; s < 14; s += 0.1 {
		exchange(at(s))
	}
	for name, hosts := range map[string]*ratelimit.RejectionLimits{"a": a, "b": b} {
		_, ok := hosts.Limit("p", at(13))
		require.False(t, ok, name)
	}
}

// All servers of a pool crash and are back after some seconds, in which no response arrives: they must
// not be filled up again before their first responses.
func TestRejectionLimitOutlastsTheServersThatStatedIt(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	r := ratelimit.NewRejectionLimits()
	r.Observe("p", 1, start)
	got, ok := r.Limit("p", start.Add(20*time.Second))
	require.True(t, ok)
	require.Equal(t, 1.0, got)
	require.True(t, r.ObserveNone("p", start.Add(20*time.Second)))
	_, ok = r.Limit("p", start.Add(20*time.Second))
	require.False(t, ok)
	_, ok = r.Limit("q", start)
	require.False(t, ok)
	r.Observe("q", 1, start)
	_, ok = r.Limit("q", start.Add(61*time.Second))
	require.False(t, ok, "servers that are gone")
	require.Empty(t, r.Messages(start.Add(61*time.Second)))
}
