package main

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"fennelyard/platform/standin"
)

// soakVersions are the versions of the backend servers' software; each start of a server draws one.
var soakVersions = []string{"v1", "v2"}

// maxStreamTries is how often a client tries to take a stream up.
const maxStreamTries = 5

// soakStream returns the complete stream of a server of a version.
func soakStream(id, version string) string {
	var b strings.Builder
	for i := range soakEvents {
		fmt.Fprintf(&b, "id: %d\ndata: %s %s\n\n", i+1, id, version)
	}
	return b.String()
}

// resumeStreams makes streams complete, one after the other, at any entry, until the soak's context
// ends. None may hold events of two versions.
func (s *soak) resumeStreams(r *rand.Rand) {
	for n := 0; s.ctx.Err() == nil; n++ {
		first, last, versions := "", 0, map[string]bool{}
		for try := 0; try < maxStreamTries && last < soakEvents && s.ctx.Err() == nil; try++ {
			id := fmt.Sprintf("s-%d-%d-%d", s.seed, n, try)
			header := standin.RequestHeader(id, 2000)
			if last > 0 {
				standin.SetResumed(header, first, last)
			}
			// Now and then the client leaves its entry in the middle of the stream.
			most := soakEvents
			if r.IntN(2) == 0 {
				most = 1 + r.IntN(soakEvents)
			}
			reached := s.readEvents(r.IntN(s.entries), header, most, versions)
			s.mu.Lock()
			switch {
			case last > 0 && reached > last:
				s.streamsResumed++
			case last > 0:
				s.streamsRefused++
			case reached > 0:
				first = id
			}
			s.mu.Unlock()
			last = max(last, reached)
		}
		if len(versions) > 1 {
			s.recordViolation("the stream that %s began has events of several versions", first)
		}
		time.Sleep(time.Duration(r.IntN(30)) * time.Millisecond)
	}
}

// readEvents sends a request for a stream to an entry and reads up to some events. It adds their
// versions, and returns the last one's number, 0 for none.
func (s *soak) readEvents(entry int, header http.Header, most int, versions map[string]bool) (last int) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	url := fmt.Sprintf("http://%s:%d/%s/x", s.entryIP(entry), s.port+2, standin.StreamRoute)
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("body"))
	if err != nil {
		return 0
	}
	q.Host, q.Header = standin.Hostname, header
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(q)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return 0
	}
	in := bufio.NewScanner(response.Body)
	for id := 0; in.Scan() && last < most; {
		if _, err = fmt.Sscanf(in.Text(), "id: %d", &id); err == nil {
			continue
		}
		if _, version, ok := strings.Cut(strings.TrimPrefix(in.Text(), "data: "), " "); ok {
			versions[version] = true
			last = id
		}
	}
	return last
}
