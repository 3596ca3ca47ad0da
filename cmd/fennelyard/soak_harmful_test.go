package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/stretchr/testify/require"

	"fennelyard/platform/standin"
)

// sendHarmfulRequests repeats the harmful request at random entries until the soak's context
// ends.
func (s *soak) sendHarmfulRequests(r *rand.Rand) {
	for n := 0; s.ctx.Err() == nil; n++ {
		s.sendHarmfulRequest(r.IntN(s.entries), n)
		time.Sleep(time.Duration(50+r.IntN(200)) * time.Millisecond)
	}
}

func (s *soak) sendHarmfulRequest(entry, n int) (status int) {
	url := fmt.Sprintf("http://%s:%d/%s/x", s.entryIP(entry), s.port+2, standin.UnsafeRoute)
	status, _ = s.call(http.MethodPost, url, harmfulBody, standin.RequestHeader(fmt.Sprintf("h-%d-%d", s.seed, n), 2000), 3*time.Second)
	return status
}

// crashCount returns the number of servers that crashed under the harmful request.
func (s *soak) crashCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashed
}

// checkHarmfulHeldBack checks, after the end of the faults, that every entry holds the harmful
// request back and serves other requests, even if hosts that had recorded the suspicion lost
// their state.
func (s *soak) checkHarmfulHeldBack() {
	rounds := 0
	require.Eventually(s.t, func() bool {
		rounds++
		return s.holdsBackHarmful(rounds)
	}, waitLimit, 50*time.Millisecond, "seed %d: the harmful request is not held back everywhere", s.seed)
	before := s.crashCount()
	for round := range harmfulRounds {
		s.holdsBackHarmful(rounds + round)
	}
	require.Equal(s.t, before, s.crashCount(), "seed %d: a server crashed although the request is held back", s.seed)
}

// holdsBackHarmful reports whether every entry refuses the harmful request and then serves
// another.
func (s *soak) holdsBackHarmful(round int) bool {
	for i := range s.entries {
		if s.sendHarmfulRequest(i, -round) != http.StatusServiceUnavailable {
			return false
		}
	}
	for i := range s.entries {
		if !s.servesRequest(i, fmt.Sprint("last-", round)) {
			return false
		}
	}
	return true
}
