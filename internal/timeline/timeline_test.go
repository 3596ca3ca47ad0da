package timeline_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/gateway"
	"fennelyard/internal/timeline"
)

const logs = `
core-1 {"time":"2026-01-02T03:04:01Z","level":"INFO","msg":"order given","host":"core-1","logger":"loading","server":"s1","model":"m","outcome":"unknown"}
core-1 {"time":"2026-01-02T03:04:01Z","level":"INFO","msg":"order given","host":"core-1","logger":"loading","server":"s9","model":"other","outcome":"taken"}
core-1 {"time":"2026-01-02T03:03:01Z","level":"INFO","msg":"order given","host":"core-1","logger":"loading","server":"s1","model":"m","outcome":"taken"}
{"time":"2026-01-02T03:04:02Z","level":"INFO","msg":"leader lost","host":"e1","logger":"entry","error":"silent"}
{"time":"2026-01-02T03:04:03Z","level":"INFO","msg":"request","host":"e1","id":"42","outcome":"no-model","status":503,"model":"m","waited-ms":2000,"took-ms":2001}
{"time":"2026-01-02T03:04:03Z","level":"INFO","msg":"request","host":"e1","id":"43","outcome":"served","status":200}
not a log line
`

// TestTimelineOfRefusedRequest tests that a request ID leads to the refusal, to the
// order for the request's model that got no reply, and to the entry's lost leader, and
// not to earlier or unrelated lines.
func TestTimelineOfRefusedRequest(t *testing.T) {
	lines, err := timeline.Read(strings.NewReader(logs))
	require.NoError(t, err)
	got, err := timeline.Collect("42", lines)
	require.NoError(t, err)
	require.Len(t, got.Requests, 1)
	require.Contains(t, timeline.Cause(got.Requests[0]), "no server had model m loaded; after 2s")
	require.Len(t, got.StateChanges, 2)
	require.Contains(t, got.StateChanges[0].String(), "order given model=m outcome=unknown server=s1")
	require.Contains(t, got.StateChanges[1].String(), "leader lost error=silent")
	require.False(t, got.Dropped)
	_, err = timeline.Collect("44", lines)
	require.ErrorIs(t, err, timeline.ErrRequestNotFound)
}

// TestEveryOutcomeHasACause tests that each outcome that can be logged for a request
// has its own description.
func TestEveryOutcomeHasACause(t *testing.T) {
	seen := map[string]bool{}
	for o := gateway.OutcomeServed; !strings.HasPrefix(o.String(), "Outcome("); o++ {
		outcome := o.String()
		lines, err := timeline.Read(strings.NewReader(
			`{"time":"2026-01-02T03:04:03Z","msg":"request","id":"1","outcome":"` + outcome + `"}`))
		require.NoError(t, err)
		got, err := timeline.Collect("1", lines)
		require.NoError(t, err)
		cause := timeline.Cause(got.Requests[0])
		require.False(t, seen[cause], "%s: %s", outcome, cause)
		seen[cause] = true
	}
	require.GreaterOrEqual(t, len(seen), 14)
}

const restartLogs = `
{"time":"2026-01-02T03:04:01Z","level":"INFO","msg":"order given","host":"core-1","logger":"loading","server":"s1@1000","model":"m","outcome":"taken"}
{"time":"2026-01-02T03:04:02Z","level":"INFO","msg":"server gone","host":"core-1","logger":"roster","server":"s1@1000","reason":"the server has started again"}
{"time":"2026-01-02T03:04:02Z","level":"INFO","msg":"order given","host":"core-1","logger":"loading","server":"s1@2000","model":"other","outcome":"taken"}
{"time":"2026-01-02T03:04:03Z","level":"INFO","msg":"request","host":"e1","id":"42","outcome":"outcome-unknown","status":502,"server":"s1@1000","took-ms":1500,"cause":"reset"}
`

// TestTimelineIsLimitedToOneIncarnation tests a request at a server that crashed and
// restarted with the same ID. The timeline must contain the lines of the incarnation
// that ran the request, up to the one that reports its end, and no orders to the next
// incarnation.
func TestTimelineIsLimitedToOneIncarnation(t *testing.T) {
	lines, err := timeline.Read(strings.NewReader(restartLogs))
	require.NoError(t, err)
	got, err := timeline.Collect("42", lines)
	require.NoError(t, err)
	require.Contains(t, timeline.Cause(got.Requests[0]), "server s1@1000 accepted the request")
	require.Len(t, got.StateChanges, 2)
	require.Contains(t, got.StateChanges[0].String(), "order given model=m outcome=taken server=s1@1000")
	require.Contains(t, got.StateChanges[1].String(), "reason=the server has started again")
}

const heldBackLogs = `
{"time":"2026-01-02T03:03:01Z","level":"INFO","msg":"attempts broke off","host":"e2","logger":"entry/inquest","server":"s1","answers":"refused","ended":true,"keys":["k0","k1"]}
{"time":"2026-01-02T03:03:01Z","level":"INFO","msg":"attempts broke off","host":"e2","logger":"entry/inquest","server":"s5","answers":"refused","ended":true,"keys":["k0"]}
{"time":"2026-01-02T03:03:02Z","level":"INFO","msg":"request held back","host":"e2","logger":"entry/quarantine","key":"k1","servers":["s1","s2","s3"],"blamed":3}
{"time":"2026-01-02T03:04:03Z","level":"INFO","msg":"request","host":"e1","id":"42","key":"k1","outcome":"held-back","status":503,"took-ms":1}
`

// TestTimelineOfHeldBackRequest tests that the key of a held-back request leads to the
// server that ended while it ran the request a minute before, at another entry, and not
// to servers that ended while they ran other requests.
func TestTimelineOfHeldBackRequest(t *testing.T) {
	lines, err := timeline.Read(strings.NewReader(heldBackLogs))
	require.NoError(t, err)
	got, err := timeline.Collect("42", lines)
	require.NoError(t, err)
	require.Contains(t, timeline.Cause(got.Requests[0]), "three servers had ended while they ran the same request, see key k1")
	require.Len(t, got.StateChanges, 2)
	require.Contains(t, got.StateChanges[0].String(), "server=s1")
	require.Contains(t, got.StateChanges[1].String(), "request held back")
}

const heldBackPartLogs = `
{"time":"2026-01-02T03:03:01Z","level":"INFO","msg":"attempts broke off","host":"e2","logger":"entry/inquest","server":"s1","answers":"refused","ended":true,"keys":["k0"]}
{"time":"2026-01-02T03:03:01Z","level":"INFO","msg":"attempts broke off","host":"e2","logger":"entry/inquest","server":"s5","answers":"refused","ended":true,"keys":["k9"]}
{"time":"2026-01-02T03:03:02Z","level":"INFO","msg":"request held back","host":"e2","logger":"entry/quarantine","key":"p1","scope":"part","servers":["s1","s2","s3"],"blamed":3}
{"time":"2026-01-02T03:04:03Z","level":"INFO","msg":"request","host":"e1","id":"42","key":"k1","outcome":"held-back","held-by":"p1","held-scope":"part","held-name":"5c1e","status":503,"took-ms":1}
`

// The timeline of a request that is held back for a prompt part must contain the servers that ended
// under other requests with the part.
func TestTimelineOfHeldBackPart(t *testing.T) {
	lines, err := timeline.Read(strings.NewReader(heldBackPartLogs))
	require.NoError(t, err)
	got, err := timeline.Collect("42", lines)
	require.NoError(t, err)
	require.Contains(t, timeline.Cause(got.Requests[0]), "the same part (5c1e), see key p1")
	require.Len(t, got.StateChanges, 2)
	require.Contains(t, got.StateChanges[0].String(), "server=s1")
	require.Contains(t, got.StateChanges[1].String(), "request held back")
}
