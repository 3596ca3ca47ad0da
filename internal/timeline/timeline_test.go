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

// A caller complains; the id leads to the refusal, to the order for its model
// that had no answer, and to the leader that the entry had lost.
func TestFromIDToCause(t *testing.T) {
	lines, err := timeline.Read(strings.NewReader(logs))
	require.NoError(t, err)
	s, err := timeline.Collect("42", lines)
	require.NoError(t, err)
	require.Len(t, s.Requests, 1)
	require.Contains(t, timeline.Cause(s.Requests[0]), "no server held model m; after 2s")
	require.Len(t, s.StateChanges, 2)
	require.Contains(t, s.StateChanges[0].String(), "order given model=m outcome=unknown server=s1")
	require.Contains(t, s.StateChanges[1].String(), "leader lost error=silent")
	require.False(t, s.Dropped)
	_, err = timeline.Collect("44", lines)
	require.ErrorIs(t, err, timeline.ErrUnknown)
}

// Every outcome that a request can be logged with has a sentence of its own.
func TestEveryOutcomeHasACause(t *testing.T) {
	seen := map[string]bool{}
	for o := gateway.OutcomeServed; !strings.HasPrefix(o.String(), "Outcome("); o++ {
		outcome := o.String()
		lines, err := timeline.Read(strings.NewReader(
			`{"time":"2026-01-02T03:04:03Z","msg":"request","id":"1","outcome":"` + outcome + `"}`))
		require.NoError(t, err)
		s, err := timeline.Collect("1", lines)
		require.NoError(t, err)
		cause := timeline.Cause(s.Requests[0])
		require.False(t, seen[cause], "%s: %s", outcome, cause)
		seen[cause] = true
	}
	require.GreaterOrEqual(t, len(seen), 14)
}

const startLogs = `
{"time":"2026-01-02T03:04:01Z","level":"INFO","msg":"order given","host":"core-1","logger":"loading","server":"s1@1000","model":"m","outcome":"taken"}
{"time":"2026-01-02T03:04:02Z","level":"INFO","msg":"server gone","host":"core-1","logger":"roster","server":"s1@1000","reason":"the server has started again"}
{"time":"2026-01-02T03:04:02Z","level":"INFO","msg":"order given","host":"core-1","logger":"loading","server":"s1@2000","model":"other","outcome":"taken"}
{"time":"2026-01-02T03:04:03Z","level":"INFO","msg":"request","host":"e1","id":"42","outcome":"outcome-unknown","status":502,"server":"s1@1000","took-ms":1500,"cause":"reset"}
`

// A request was at a server that crashed and started again under its id. Its story is of
// the start that had it, up to the line that says that it has ended: what the next start
// was ordered has nothing to do with it.
func TestStoryIsOfOneStart(t *testing.T) {
	lines, err := timeline.Read(strings.NewReader(startLogs))
	require.NoError(t, err)
	s, err := timeline.Collect("42", lines)
	require.NoError(t, err)
	require.Contains(t, timeline.Cause(s.Requests[0]), "server s1@1000 took the request")
	require.Len(t, s.StateChanges, 2)
	require.Contains(t, s.StateChanges[0].String(), "order given model=m outcome=taken server=s1@1000")
	require.Contains(t, s.StateChanges[1].String(), "reason=the server has started again")
}

const harmfulLogs = `
{"time":"2026-01-02T03:03:01Z","level":"INFO","msg":"attempts broke off","host":"e2","logger":"entry/inquest","server":"s1","answers":"refused","ended":true,"keys":["k0","k1"]}
{"time":"2026-01-02T03:03:01Z","level":"INFO","msg":"attempts broke off","host":"e2","logger":"entry/inquest","server":"s5","answers":"refused","ended":true,"keys":["k0"]}
{"time":"2026-01-02T03:03:02Z","level":"INFO","msg":"request held back","host":"e2","logger":"entry/quarantine","key":"k1","servers":["s1","s2","s3"],"blamed":3}
{"time":"2026-01-02T03:04:03Z","level":"INFO","msg":"request","host":"e1","id":"42","key":"k1","outcome":"held-back","status":503,"took-ms":1}
`

// A caller complains of a refusal; the request's key leads to the servers that had ended
// under it a minute before, at another entry, and not to those that ended under others.
func TestHeldBackRequestLeadsToTheServersThatEnded(t *testing.T) {
	lines, err := timeline.Read(strings.NewReader(harmfulLogs))
	require.NoError(t, err)
	s, err := timeline.Collect("42", lines)
	require.NoError(t, err)
	require.Contains(t, timeline.Cause(s.Requests[0]), "ended three servers that ran it, see key k1")
	require.Len(t, s.StateChanges, 2)
	require.Contains(t, s.StateChanges[0].String(), "server=s1")
	require.Contains(t, s.StateChanges[1].String(), "request held back")
}
