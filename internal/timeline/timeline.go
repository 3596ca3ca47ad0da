// Package timeline joins the log lines of several processes into what happened to
// one request.
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
	// before is how far before a request's arrival lines about its server, model
	// and leader are shown: a change of belief is in force within two seconds.
	before = 3 * time.Second
	// longest is the longest log line that is read.
	longest     = 1 << 20
	requestLine = "request"
	droppedLine = "log lines dropped"
)

// ErrUnknown says that no log line names the request.
var ErrUnknown = errors.New("no log line names this request")

// Line is one log line.
type Line struct {
	At   time.Time
	Host string
	// Message is the name of the event.
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

func (l *Line) milliseconds(key string) time.Duration {
	return time.Duration(l.number(key) * float64(time.Millisecond))
}

// shared names the request that the line is about, what it ran on, or both.
var shared = []string{"server", "model", "pool"}

// silent are the fields that are not repeated in the text of a line.
var silent = map[string]bool{"time": true, "level": true, "msg": true, "host": true, "logger": true}

// String returns the line's fields in a fixed order.
func (l *Line) String() string {
	var keys []string
	for k, v := range l.fields {
		if !silent[k] && v != "" && v != nil {
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

// Read returns the lines of one log. What stands before the first brace of a
// line, and lines that are no JSON, are passed over.
func Read(in io.Reader) ([]*Line, error) {
	var out []*Line
	s := bufio.NewScanner(in)
	s.Buffer(make([]byte, 64<<10), longest)
	for s.Scan() {
		at := bytes.IndexByte(s.Bytes(), '{')
		if at < 0 {
			continue
		}
		fields := map[string]any{}
		if json.Unmarshal(s.Bytes()[at:], &fields) != nil {
			continue
		}
		l := &Line{fields: fields}
		l.Host, l.Message = l.text("host"), l.text("msg")
		when, err := time.Parse(time.RFC3339Nano, l.text("time"))
		if err != nil {
			continue
		}
		l.At = when
		out = append(out, l)
	}
	if err := s.Err(); err != nil {
		return nil, errors.Newf("read log: %w", err)
	}
	return out, nil
}

// Timeline is what the logs tell of one request.
type Timeline struct {
	// Requests are the lines of the request itself, one for each entry that took
	// it.
	Requests []*Line
	// StateChanges are the lines about what it ran on, shortly before and during it.
	StateChanges []*Line
	// Dropped is set when a process dropped lines in that time: the story may
	// lack some.
	Dropped bool
}

// Collect collects the story of a request.
func Collect(id string, lines []*Line) (*Timeline, error) {
	s := &Timeline{}
	for _, l := range lines {
		if l.Message == requestLine && l.text("id") == id {
			s.Requests = append(s.Requests, l)
		}
	}
	if len(s.Requests) == 0 {
		return nil, errors.Newf("request %s: %w", id, ErrUnknown)
	}
	for _, l := range lines {
		if l.Message == requestLine {
			continue
		}
		for _, q := range s.Requests {
			if s.belongs(l, q) {
				s.StateChanges = append(s.StateChanges, l)
				break
			}
		}
	}
	byTime := func(a, b *Line) int { return a.At.Compare(b.At) }
	slices.SortStableFunc(s.Requests, byTime)
	slices.SortStableFunc(s.StateChanges, func(a, b *Line) int { return cmp.Or(byTime(a, b), cmp.Compare(a.Host, b.Host)) })
	return s, nil
}

// belongs reports whether a line is about what a request depended on.
func (s *Timeline) belongs(l, q *Line) bool {
	from := q.At.Add(-q.milliseconds("took-ms") - before)
	if names(l, q.text("key")) && l.At.Before(q.At) {
		// What made a request suspect may be long ago.
		return true
	}
	if l.At.Before(from) || l.At.After(q.At) {
		return false
	}
	if l.Message == droppedLine {
		s.Dropped = true
		return true
	}
	if l.text("logger") == "" || strings.HasPrefix(l.text("logger"), "group") || l.Host == q.Host {
		return true
	}
	for _, key := range shared {
		if v := q.text(key); v != "" && v == l.text(key) {
			return true
		}
	}
	return false
}

// names reports whether a line is about a request that has a key.
func names(l *Line, key string) bool {
	if key == "" {
		return false
	}
	keys, _ := l.fields["keys"].([]any)
	return l.text("key") == key || slices.Contains(keys, any(key))
}

// Cause says in a sentence what decided a request's end.
func Cause(q *Line) string {
	waited, first, pause := q.milliseconds("waited-ms"), q.milliseconds("first-ms"), q.milliseconds("pause-ms")
	switch q.text("outcome") {
	case "no-configuration":
		return "the entry knew no configuration yet: it had just started and no leader had spoken"
	case "no-route":
		return "no route of version " + q.text("version") + " matches the host and path"
	case "no-model":
		return fmt.Sprintf("no server held model %s; after %v the leader's forecast, or its silence, left no time", q.text("model"), waited)
	case "no-server":
		return "no server of pool " + q.text("pool") + " was believed to be ready"
	case "busy":
		return "the servers of pool " + q.text("pool") + " were full: " + q.text("cause")
	case "repeat-budget":
		return "an attempt failed and the allowance for repeats was used up: " + q.text("cause")
	case "outcome-unknown":
		return "server " + q.text("server") + " took the request and gave no answer; it may have run and must not run twice: " + q.text("cause")
	case "cut":
		return "the answer broke off at server " + q.text("server") + " and no other could go on: " + q.text("cause")
	case "timeout":
		return fmt.Sprintf("the time was over after %d attempts, %v of it waiting for a model: %s", int(q.number("attempts")), waited, q.text("cause"))
	case "bad-body":
		return "the request's body did not come whole or was too large: " + q.text("cause")
	case "caller-gone":
		return "the caller left first"
	case "held-back":
		return "the same request had ended three servers that ran it, see key " + q.text("key") + "; it is held back"
	case "unauthorized":
		return "the request's API key is no team's in version " + q.text("version") + ", confirmed " + q.text("confirmed-age-ms") + " ms before"
	case "keys-unconfirmed":
		return "the entry could not confirm its configuration for " + q.text("confirmed-age-ms") + " ms, so that the API key may have been added or revoked since"
	case "over-quota":
		return "team " + q.text("team") + " had used up its quota over all entries"
	case "entry-stopping":
		return fmt.Sprintf("the entry was stopped and had no time left to serve it, after %v of waiting for a model: %s", waited, q.text("cause"))
	case "server-failed":
		return "server " + q.text("server") + " answered with status " + q.text("status")
	}
	return fmt.Sprintf("served by %s; first byte after %v (%v of it waiting for a model), longest pause %v", q.text("server"), first, waited, pause)
}
