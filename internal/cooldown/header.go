// Package cooldown keeps the times for which servers ask a host to send them nothing, by the
// Retry-After header of responses that reject a request (RFC 9110, section 10.2.3).
package cooldown

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// maxWait is the longest wait that a statement is taken for. Longer ones would overflow.
const maxWait = 100 * 365 * 24 * time.Hour

// Statement is what a response states about the time for which its server wants no requests.
type Statement struct {
	// Wait counts from the arrival of the response; 0: the response states no wait.
	Wait time.Duration
	// Unreadable is set if a Retry-After field cannot be decoded. Wait is then that of the others.
	Unreadable bool
}

// ParseResponse returns the wait that the header of a response with a status states. Only
// responses that reject a request for the state of the server state one: 503 and 429. The time now
// is the reference of dates in responses without a Date.
func ParseResponse(status int, header http.Header, now time.Time) Statement {
	var s Statement
	if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
		return s
	}
	if date, err := http.ParseTime(header.Get("Date")); err == nil {
		// The clocks of the server and this host may differ.
		now = date
	}
	for _, value := range header.Values("Retry-After") {
		wait, ok := parseWait(strings.TrimSpace(value), now)
		s.Wait, s.Unreadable = max(s.Wait, wait), s.Unreadable || !ok
	}
	return s
}

// parseWait parses a number of seconds, which may have a fraction, or a date.
func parseWait(value string, now time.Time) (time.Duration, bool) {
	if at, err := http.ParseTime(value); err == nil {
		return min(max(at.Sub(now), 0), maxWait), true
	}
	seconds, err := strconv.ParseFloat(value, 64)
	if errors.Is(err, strconv.ErrRange) && seconds > 0 {
		return maxWait, true
	}
	if err != nil || !(seconds >= 0) || math.IsInf(seconds, 0) {
		return 0, false
	}
	return time.Duration(min(seconds*float64(time.Second), float64(maxWait))), true
}
