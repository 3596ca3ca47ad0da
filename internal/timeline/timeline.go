// Package timeline selects the log lines of several processes that explain what
// happened to one request.
package timeline

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// lookback is the time before a request's arrival from which lines about its
	// server, model and leader are included: a change of observed state takes effect
	// within two seconds.
	lookback = 3 * time.Second
	// maxLineBytes bounds the length of a log line.
	maxLineBytes = 1 << 20
	// requestMessage and droppedMessage are messages of log lines.
	requestMessage = "request"
	// probeMessage and heldBackMessage are the messages on servers that ended under
	// requests, and on what is held back for it.
	probeMessage    = "attempts broke off"
	heldBackMessage = "request held back"
	droppedMessage  = "log lines dropped"
)

// ErrRequestNotFound is returned if no log line names the request.
var ErrRequestNotFound = errors.New("no log line names this request")

// Line is a parsed log line.
type Line struct {
	At time.Time
	// Host is the host that wrote the line, "" if it is not named.
	Host string
	// Message is the text of the log call, which names the event.
	Message string
	fields  map[string]any
}

// text returns a field as text, or "".
func (l *Line) text(key string) string {
	v, ok := l.fields[key]
	if !ok || v == nil {
		return ""
	}
	return fmt.Sprint(v)
}

// number returns a field that is a number, or 0.
func (l *Line) number(key string) float64 {
	n, _ := l.fields[key].(float64)
	return n
}

// milliseconds returns a field that is a number of milliseconds, or 0.
func (l *Line) milliseconds(key string) time.Duration {
	return time.Duration(l.number(key) * float64(time.Millisecond))
}

// sharedKeys are the fields by which a line of another host is related to a request:
// what the request ran on.
var sharedKeys = []string{"server", "model", "pool"}

// omittedKeys are the fields that String does not list: they are already part of its
// text or of no interest.
var omittedKeys = map[string]bool{"time": true, "level": true, "msg": true, "host": true, "logger": true}

// String returns the line's time, host and message, followed by its other fields in
// the order of their keys.
func (l *Line) String() string {
	var keys []string
	for k, v := range l.fields {
		if !omittedKeys[k] && v != "" && v != nil {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	var b strings.Builder
	fmt.Fprintf(&b, "%s %-20s %s", l.At.Format("15:04:05.000"), l.Host, l.Message)
	for _, k := range keys {
		fmt.Fprintf(&b, " %s=%v", k, l.fields[k])
	}
	return b.String()
}

// Read parses a log of JSON lines. It ignores text before the first brace of a line,
// such as a prefix with the process name, and lines that are not JSON or have no valid
// time.
func Read(in io.Reader) ([]*Line, error) {
	var out []*Line
	s := bufio.NewScanner(in)
	s.Buffer(make([]byte, 64<<10), maxLineBytes)
	for s.Scan() {
		start := bytes.IndexByte(s.Bytes(), '{')
		if start < 0 {
			continue
		}
		fields := map[string]any{}
		if json.Unmarshal(s.Bytes()[start:], &fields) != nil {
			continue
		}
		l := &Line{fields: fields}
		l.Host, l.Message = l.text("host"), l.text("msg")
		at, err := time.Parse(time.RFC3339Nano, l.text("time"))
		if err != nil {
			continue
		}
		l.At = at
		out = append(out, l)
	}
	if err := s.Err(); err != nil {
		return nil, errors.Newf("read log: %w", err)
	}
	return out, nil
}

// Timeline holds the log lines of one request, ordered by time.
type Timeline struct {
	// Requests holds the lines of the request itself, one for each entry that
	// received it.
	Requests []*Line
	// StateChanges holds the lines about its server, model, pool and leader, shortly
	// before and during the request.
	StateChanges []*Line
	// Dropped is set if a process dropped log lines in that time, so that some may be
	// missing.
	Dropped bool
}

// Collect returns the timeline of the request with an ID, or ErrRequestNotFound.
func Collect(id string, lines []*Line) (*Timeline, error) {
	t := &Timeline{}
	for _, l := range lines {
		if l.Message == requestMessage && l.text("id") == id {
			t.Requests = append(t.Requests, l)
		}
	}
	if len(t.Requests) == 0 {
		return nil, errors.Newf("request %s: %w", id, ErrRequestNotFound)
	}
	ended := t.endedServers(lines)
	for _, l := range lines {
		if l.Message == requestMessage {
			continue
		}
		if l.Message == probeMessage && ended[l.text("server")] {
			t.StateChanges = append(t.StateChanges, l)
			continue
		}
		for _, request := range t.Requests {
			if t.isRelated(l, request) {
				t.StateChanges = append(t.StateChanges, l)
				break
			}
		}
	}
	byTime := func(a, b *Line) int { return a.At.Compare(b.At) }
	slices.SortStableFunc(t.Requests, byTime)
	slices.SortStableFunc(t.StateChanges, func(a, b *Line) int { return cmp.Or(byTime(a, b), cmp.Compare(a.Host, b.Host)) })
	return t, nil
}

// endedServers returns the servers that ended under what held the request back, if that is
// something that it shares with others: the lines on these servers name other requests.
func (t *Timeline) endedServers(lines []*Line) map[string]bool {
	out := map[string]bool{}
	for _, l := range lines {
		for _, request := range t.Requests {
			if l.Message != heldBackMessage || request.text("held-by") == "" || l.text("key") != request.text("held-by") {
				continue
			}
			servers, _ := l.fields["servers"].([]any)
			for _, server := range servers {
				out[fmt.Sprint(server)] = true
			}
		}
	}
	return out
}

// isRelated reports whether a line is about something that the request depended on.
// It sets Dropped if lines were dropped.
func (t *Timeline) isRelated(l, request *Line) bool {
	from := request.At.Add(-request.milliseconds("took-ms") - lookback)
	if (namesKey(l, request.text("key")) || namesKey(l, request.text("held-by"))) && l.At.Before(request.At) {
		// What made the request suspect may lie long before it.
		return true
	}
	if l.At.Before(from) || l.At.After(request.At) {
		return false
	}
	if l.Message == droppedMessage {
		t.Dropped = true
		return true
	}
	if l.text("logger") == "" || strings.HasPrefix(l.text("logger"), "group") || l.Host == request.Host {
		return true
	}
	for _, key := range sharedKeys {
		if v := request.text(key); v != "" && v == l.text(key) {
			return true
		}
	}
	return false
}

// namesKey reports whether a line is about requests with the given key.
func namesKey(l *Line, key string) bool {
	if key == "" {
		return false
	}
	keys, _ := l.fields["keys"].([]any)
	return l.text("key") == key || slices.Contains(keys, any(key))
}

// Cause describes in a sentence what determined a request's outcome.
func Cause(request *Line) string {
	waited, first, pause := request.milliseconds("waited-ms"), request.milliseconds("first-ms"), request.milliseconds("pause-ms")
	switch request.text("outcome") {
	case "no-configuration":
		return "the entry had no configuration yet: it had just started and had received no update from a leader"
	case "no-route":
		return "no route of version " + request.text("version") + " matches the host and path"
	case "no-model":
		return fmt.Sprintf("no server had model %s loaded; after %v the remaining time was too short by the leader's forecast, or the leader was silent", request.text("model"), waited)
	case "no-server":
		return "no server of pool " + request.text("pool") + " was known to be ready"
	case "busy":
		return "the servers of pool " + request.text("pool") + " were full: " + request.text("cause")
	case "repeat-budget":
		return "an attempt failed and the retry budget was exhausted: " + request.text("cause")
	case "outcome-unknown":
		return "server " + request.text("server") + " accepted the request and sent no response; it may have run and must not run twice: " + request.text("cause")
	case "cut":
		return "the response from server " + request.text("server") + " was interrupted and no other server could resume it: " + request.text("cause")
	case "timeout":
		return fmt.Sprintf("the request timed out after %d attempts, with %v spent waiting for a model: %s", int(request.number("attempts")), waited, request.text("cause"))
	case "bad-body":
		return "the request body was incomplete or too large: " + request.text("cause")
	case "caller-gone":
		return "the caller disconnected before the response was complete"
	case "held-back":
		if scope := request.text("held-scope"); scope != "" && scope != "request" {
			return "servers had ended while they ran requests with the same " + scope + " (" + request.text("held-name") + "), see key " + request.text("held-by") + "; they are held back"
		}
		return "three servers had ended while they ran the same request, see key " + request.text("key") + "; it is held back"
	case "no-connection":
		return "all connections of callers that the entry may have were in use, or the heads of other requests took all memory"
	case "not-text":
		return "the request names a model whose name is no valid UTF-8, which no model has"
	case "bad-resumes":
		return "the request names the attempt that it continues more than once, or in a malformed way"
	case "version-unknown":
		return "no entry that could be asked knows where the stream of attempt " + request.text("resumes") + " began, so not which version of the servers' software it may go on at"
	case "version-gone":
		return "the stream began at version " + request.text("software") + " of the servers' software, which no server runs now"
	case "unauthorized":
		return "the request's API key belongs to no team in version " + request.text("version") + ", confirmed " + request.text("confirmed-age-ms") + " ms before"
	case "keys-unconfirmed":
		return "the entry could not confirm its configuration for " + request.text("confirmed-age-ms") + " ms; the API key may have been added or revoked since"
	case "over-quota":
		return "team " + request.text("team") + " had exhausted its quota over all entries"
	case "no-grant":
		return "no control host could grant the request within its team's quota; the entry's last confirmation was " + request.text("confirmed-age-ms") + " ms old"
	case "server-limit":
		return "every server that could serve the request states a limit on its requests, which was used up for longer than the caller would wait; it waited " + fmt.Sprint(waited)
	case "no-path":
		return "the entry had lost its path to the backend servers, and no other entry carried its connections (see its lines `path to servers lost` and `host carries no tunnel`)"
	case "server-cooldown":
		return "every server that could serve the request had asked the entry to send it nothing for longer than the caller would wait; it waited " + fmt.Sprint(waited)
	case "entry-stopping":
		return fmt.Sprintf("the entry was stopped and had no time left to serve the request, after waiting %v for a model: %s", waited, request.text("cause"))
	case "no-memory":
		return "the bodies of other requests and responses took all memory for bodies (buffer-mb); the request was not sent"
	case "server-failed":
		return "server " + request.text("server") + " responded with status " + request.text("status")
	}
	return fmt.Sprintf("served by %s; first byte after %v (%v of it spent waiting for a model), longest pause %v", request.text("server"), first, waited, pause)
}
