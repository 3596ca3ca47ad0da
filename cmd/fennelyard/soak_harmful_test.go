package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"strings"
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

// crashesByVersion returns the number of servers that crashed under the harmful request by their version.
func (s *soak) crashesByVersion() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.crashedVersions)
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

// maxTrialCrashes is the maximum number of servers that crash in trials once the part is held back: a hold that
// other suspects explain in part ends after some seconds, and one request may try again.
const maxTrialCrashes = 1

// checkNoCrashButInTrials checks that no server crashed since trials of the part were counted, except in one that
// an entry has logged since.
func (s *soak) checkNoCrashButInTrials(crashes, trials int) {
	require.LessOrEqual(s.t, crashes, maxTrialCrashes, "seed %d: servers crashed although the part is held back", s.seed)
	// Lines are written a few milliseconds late.
	require.Eventually(s.t, func() bool { return s.partTrialCount()-trials >= crashes }, waitLimit, 10*time.Millisecond,
		"seed %d: a server crashed although the part is held back and no entry tried it again", s.seed)
}

// partTrialCount returns the number of logged trials of the harmful part.
func (s *soak) partTrialCount() int {
	type line struct {
		Msg      string `json:"msg"`
		Key      string `json:"key"`
		HeldBy   string `json:"held-by"`
		HeldName string `json:"held-name"`
	}
	tried, held := map[string]int{}, map[string]bool{}
	for _, p := range s.cluster.processes {
		for text := range strings.Lines(p.log.String()) {
			var l line
			if json.Unmarshal([]byte(text), &l) != nil {
				continue
			}
			switch {
			case l.Msg == "request tries again":
				tried[l.Key]++
			case l.Msg == "request" && l.HeldName == harmfulPart:
				held[l.HeldBy] = true
			}
		}
	}
	trials := 0
	for key := range held {
		trials += tried[key]
	}
	return trials
}

// harmfulPart is a part of prompts that crashes the backend server that runs a request with it, and
// ordinaryPart one that ordinary requests share with the harmful ones.
const (
	harmfulPart  = "bad0"
	ordinaryPart = "a1"
)

// sendHarmfulParts sends requests with the harmful part until the soak's context ends, no two alike.
func (s *soak) sendHarmfulParts(r *rand.Rand) {
	for n := 0; s.ctx.Err() == nil; n++ {
		s.sendHarmfulPart(r.IntN(s.entries), n)
		time.Sleep(time.Duration(100+r.IntN(300)) * time.Millisecond)
	}
}

func (s *soak) sendHarmfulPart(entry, n int) (status int) {
	status, _ = s.sendWithParts(entry, n, fmt.Sprintf("p-%d-%d", s.seed, n), harmfulPart)
	return status
}

// sendWithParts sends a request of its own kind and body whose prompt has a middle part.
func (s *soak) sendWithParts(entry, n int, id, middle string) (int, string) {
	kind := standin.RouteNames[uint(n)%uint(len(standin.RouteNames))]
	header := standin.RequestHeader(id, 2000)
	standin.SetPromptParts(header, ordinaryPart, middle, fmt.Sprintf("%x", uint32(n)))
	url := fmt.Sprintf("http://%s:%d/%s/x", s.entryIP(entry), s.port+2, kind)
	return s.call(http.MethodPost, url, "body "+id, header, 3*time.Second)
}

// crashWithinResponse records that a server crashes under the harmful part. For some requests the
// server has written a part of a response that ends with its connection.
func (s *soak) crashWithinResponse(w http.ResponseWriter, q *http.Request, kind string) {
	s.mu.Lock()
	s.crashedByPart++
	n := s.crashedByPart
	s.mu.Unlock()
	if n%2 == 0 {
		return
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	text := "ans"
	if kind == standin.StreamRoute {
		text = "id: 1\ndata: x\n\n"
	}
	// The server ends whether or not its client still reads.
	_, _ = io.WriteString(conn, standin.UnframedResponse(q)+text)
	_ = conn.Close()
}

func (s *soak) partCrashCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashedByPart
}

// checkHarmfulPartHeldBack checks, after the end of the faults, that every entry holds requests with
// the harmful part back, and no others that share their first part.
func (s *soak) checkHarmfulPartHeldBack() {
	rounds := 0
	require.Eventually(s.t, func() bool {
		rounds++
		return s.holdsBackHarmfulPart(rounds)
	}, waitLimit, 50*time.Millisecond, "seed %d: the harmful prompt part is not held back everywhere", s.seed)
	before, trials := s.partCrashCount(), s.partTrialCount()
	for round := range harmfulRounds {
		s.holdsBackHarmfulPart(rounds + 1 + round)
	}
	s.checkNoCrashButInTrials(s.partCrashCount()-before, trials)
}

// holdsBackHarmfulPart reports whether every entry refuses a new request with the harmful part and
// then serves one with another part.
func (s *soak) holdsBackHarmfulPart(round int) bool {
	for i := range s.entries {
		if s.sendHarmfulPart(i, -(round*s.entries+i)) != http.StatusServiceUnavailable {
			return false
		}
	}
	for i := range s.entries {
		if status, _ := s.sendWithParts(i, round*s.entries+i, fmt.Sprintf("q-%d-%d-%d", s.seed, round, i), "b2"); status != http.StatusOK {
			return false
		}
	}
	return true
}
