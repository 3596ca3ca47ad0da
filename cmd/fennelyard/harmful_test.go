package main

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protojson"

	"fennelyard/internal/schema"
	"fennelyard/platform/standin"
)

var harmfulFor = flag.Duration("harmful-for", 5*time.Second, "how long the harmful request is repeated")

// A client repeats a request that crashes the backend server that runs it, at each of seven
// entries in turn. The twelve servers restart after a second. Three other clients send ordinary
// requests. In the end every entry holds the harmful request back and serves the others. The
// test logs how many servers crashed, when the last one did, and the results of the ordinary
// requests.
func TestHarmfulCaller(t *testing.T) {
	const entries, servers, clients, interval = 7, 12, 3, 10 * time.Millisecond
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s, end := newSoak(ctx, t, 1, soakConfig{
		entries: entries, servers: servers,
		uptime: func(*rand.Rand) time.Duration { return time.Hour }, downtime: func(*rand.Rand) time.Duration { return time.Second },
	})
	defer end()
	for i := range entries {
		require.Eventually(t, func() bool { return s.servesRequest(i, "first") }, waitLimit, 50*time.Millisecond, "entry %d", i)
	}
	time.AfterFunc(*harmfulFor, cancel)
	var wg sync.WaitGroup
	var mu sync.Mutex
	outcomes := map[int]int{}
	for client := range clients {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				id := fmt.Sprintf("%d-%d", client, n)
				url := fmt.Sprintf("http://%s:%d/%s/x", s.entryIP(n%entries), s.port+2, standin.UnsafeRoute)
				status, _ := s.call(http.MethodPost, url, "body "+id, standin.RequestHeader(id, 2000), 3*time.Second)
				mu.Lock()
				outcomes[status]++
				mu.Unlock()
				time.Sleep(interval)
			}
		})
	}
	began, last := time.Now(), time.Duration(0)
	for n := 0; ctx.Err() == nil; n++ {
		before := s.crashCount()
		s.sendHarmfulRequest(n%entries, n)
		if s.crashCount() > before {
			last = time.Since(began)
		}
		time.Sleep(5 * interval)
	}
	wg.Wait()
	t.Logf("%d servers ended under the harmful request, the last after %s; ordinary requests by status: %v",
		s.crashCount(), last.Round(time.Millisecond), outcomes)
	s.checkHarmfulHeldBack()
	s.checkHarmfulCommands()
	require.Empty(t, s.violations)
}

// checkHarmfulCommands lists, shows and releases the request that is held back, each at another
// control host. After the release each entry sends it to a server again. The commands report an
// invalid key and an unknown key as errors. It also lists the servers' software.
func (s *soak) checkHarmfulCommands() {
	address := func(i int) string { return fmt.Sprintf("%s:%d", s.controlIP(i), s.port+1) }
	list := &schema.SuspectList{}
	code, out, errOut := runCommand("harmful", "list", "--address", address(0), "--output", "json")
	require.Equal(s.t, exitOK, code, errOut)
	require.NoError(s.t, protojson.Unmarshal([]byte(out), list))
	require.Len(s.t, list.GetSuspects(), 1)
	key := list.GetSuspects()[0].GetKey()
	code, out, errOut = runCommand("harmful", "show", key, "--address", address(1))
	require.Equal(s.t, exitOK, code, errOut)
	require.Contains(s.t, out, fmt.Sprint(s.crashCount(), " servers ended"))
	require.NotEmpty(s.t, list.GetSuspects()[0].GetHeldFrom())
	for _, name := range list.GetSuspects()[0].GetHeldFrom() {
		require.Contains(s.t, []string{"app/v1", "app/v2"}, name)
		require.Contains(s.t, out, "held back from: "+name)
	}
	// Three are needed, but a version of which none has ended is free.
	expected := 3
	if byVersion := slices.Sorted(maps.Values(s.crashesByVersion())); slices.Equal(byVersion, []int{1, 3}) {
		expected = 4
	}
	require.Equal(s.t, expected, s.crashCount(), "by version: %v", s.crashesByVersion())
	for verb, flags := range map[string][]string{"show": nil, "release": {"--operator", "ann"}} {
		code, _, errOut = runCommand(append([]string{"harmful", verb, "xyz", "--address", address(0)}, flags...)...)
		require.Equal(s.t, exitUsage, code)
		require.Contains(s.t, errOut, "not a request's key")
		code, _, errOut = runCommand(append([]string{"harmful", verb, strings.Repeat("0", len(key)), "--address", address(0)}, flags...)...)
		require.Equal(s.t, exitRefused, code)
		require.Contains(s.t, errOut, "no request under suspicion has the key")
	}
	software := &schema.SoftwareList{}
	code, out, errOut = runCommand("software", "--address", address(0), "--output", "json")
	require.Equal(s.t, exitOK, code, errOut)
	require.NoError(s.t, protojson.Unmarshal([]byte(out), software))
	for _, v := range software.GetSoftware() {
		require.Contains(s.t, soakVersions, v.GetVersion())
		require.NotZero(s.t, v.GetServers())
	}
	require.NotEmpty(s.t, software.GetSoftware())
	before := s.crashCount()
	code, _, errOut = runCommand("harmful", "release", key, "--address", address(2), "--operator", "ann")
	require.Equal(s.t, exitOK, code, errOut)
	for i := range s.entries {
		require.Eventually(s.t, func() bool {
			return s.sendHarmfulRequest(i, -9) != http.StatusServiceUnavailable || s.crashCount() >= before+3
		},
			waitLimit, 20*time.Millisecond)
	}
	require.Greater(s.t, s.crashCount(), before)
}
