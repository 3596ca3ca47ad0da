// Package elapsed measures time across the suspension of a host.
package elapsed

import "time"

// Since returns the time since t, which time.Now returned, by the clock that has advanced further: the steady
// clock stands still while a host is suspended, and the time of day may be set back.
func Since(t time.Time) time.Duration {
	now := time.Now()
	// Round strips the reading of the steady clock.
	return max(now.Sub(t), now.Round(0).Sub(t.Round(0)))
}
