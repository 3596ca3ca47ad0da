package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
	"google.golang.org/protobuf/encoding/protojson"

	"fennelyard/internal/quarantine"
	"fennelyard/internal/refusal"
	"fennelyard/internal/relay"
	"fennelyard/internal/routing"
	"fennelyard/internal/tcp"
)

const (
	// maxResumes bounds the number of times that one stream is resumed.
	maxResumes = 3
	// streamSilenceTimeout bounds the time without data on an open stream. Engines
	// send tokens or comments more often.
	streamSilenceTimeout = 15 * time.Second
)

var doneMarker = []byte("[DONE]")

// event is one server-sent event with the blank line that ends it.
type event struct {
	raw []byte
	// id is the number in the id field, or 0.
	id   uint64
	data []byte
}

// parseEvents parses complete events. A partial event is never among them, so that no caller receives one.
func parseEvents(b []byte) []event {
	var out []event
	var ev event
	for start := 0; start < len(b); {
		end := start + bytes.IndexByte(b[start:], '\n') + 1
		ev.raw = append(ev.raw, b[start:end]...)
		line := bytes.TrimRight(b[start:end], "\r\n")
		start = end
		if len(line) == 0 {
			out, ev = append(out, ev), event{}
			continue
		}
		field, value, _ := strings.Cut(string(line), ":")
		value = strings.TrimPrefix(value, " ")
		switch field {
		case "id":
			ev.id, _ = strconv.ParseUint(value, 10, 64)
		case "data":
			ev.data = append(ev.data, value...)
		}
	}
	return out
}

// forwardStream forwards events as they arrive. After the first event there is no
// other attempt; a stream with numbered events is resumed at the same server.
func (a *attempts) forwardStream(ctx context.Context, c echo.Context, chosen routing.Candidate, call routing.Call,
	response *routing.Response,
) (finished, served bool, r *refusal.Refusal) {
	s := &streamForwarder{a: a, c: c, at: chosen}
	err := s.forward(ctx, response)
	for resumes := 0; err != nil && s.lastID > 0 && resumes < maxResumes && ctx.Err() == nil; resumes++ {
		err = s.resume(ctx, call)
	}
	a.recordResult(chosen, routing.Result{
		OK: err == nil || ctx.Err() != nil, FirstByte: response.FirstByte(), Reported: response.Outstanding(),
	})
	if err == nil {
		a.e.guard.AttemptCompleted(a.in.keyedRequest(), quarantine.AnyKind)
		return true, true, nil
	}
	if !a.in.started {
		return a.handleFailure(ctx, chosen, err)
	}
	s.writeError(err)
	return true, false, nil
}

// streamForwarder forwards the events of one response to the caller.
type streamForwarder struct {
	a  *attempts
	c  echo.Context
	at routing.Candidate
	// lastID is the number of the last event forwarded; after a resume, events up
	// to it are dropped.
	lastID uint64
}

// forward forwards events and returns nil only after the end marker. A connection
// that closes regularly before it is an interrupted stream, which is reported to the guard.
func (s *streamForwarder) forward(ctx context.Context, response *routing.Response) (err error) {
	defer func() {
		if err != nil {
			s.a.e.reportFailedAttempt(ctx, s.a.in, s.at, err)
		}
	}()
	silence := time.AfterFunc(streamSilenceTimeout, response.Close)
	defer silence.Stop()
	in := relay.NewEventReader(relay.EventReaderConfig{In: response.Body(), Reserve: func() (func(), error) {
		return s.a.e.largeEvents.Reserve(ctx)
	}})
	defer in.Close()
	for {
		events, err := in.Next()
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return errors.Newf("read stream: %w", err)
		}
		silence.Reset(streamSilenceTimeout)
		for _, ev := range parseEvents(events) {
			if ev.id > 0 && ev.id <= s.lastID {
				continue
			}
			if ctx.Err() != nil {
				return errors.Newf("pass stream: %w", ctx.Err())
			}
			s.forwardEvent(response, ev)
			if bytes.Equal(ev.data, doneMarker) {
				return nil
			}
		}
	}
}

func (s *streamForwarder) forwardEvent(response *routing.Response, ev event) {
	w := s.c.Response()
	if !s.a.in.started {
		s.a.in.started = true
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Cache-Control", "no-store")
		w.Header().Set(routing.HeaderRequestID, s.a.in.id)
		w.WriteHeader(response.Status())
		s.a.e.cfg.Metrics.FirstByte(s.a.in.kind, time.Since(s.a.in.received), s.a.cold)
	}
	s.lastID = max(s.lastID, ev.id)
	// The context ends when the caller disconnects; the write error adds nothing.
	_, _ = w.Write(ev.raw)
	w.Flush()
}

// resume requests the events after the last one forwarded from the same server.
func (s *streamForwarder) resume(ctx context.Context, call routing.Call) error {
	if err := s.awaitCooldown(ctx, s.at); err != nil {
		return err
	}
	if refused := s.a.e.checkHeldBack(ctx, s.a.in); refused != nil {
		return errors.Newf("resume: %w", refused)
	}
	call.Header = call.Header.Clone()
	call.Header.Set("Last-Event-ID", strconv.FormatUint(s.lastID, 10))
	call.NewConnection = true
	response, err := s.a.e.send(ctx, s.a.in, s.at, call)
	if err != nil {
		if !withheld(err) && !withoutPath(err) {
			s.a.e.reportFailedAttempt(ctx, s.a.in, s.at, err)
		}
		return errors.Newf("resume: %w", err)
	}
	defer response.Close()
	if response.Status() != http.StatusOK || response.NotRun() {
		return errors.Newf("resume: status %d", response.Status())
	}
	return s.forward(ctx, response)
}

// awaitCooldown waits until the server takes requests again. It returns an error if that is after the
// request's deadline, or later than the caller waits for an event.
func (s *streamForwarder) awaitCooldown(ctx context.Context, at routing.Candidate) error {
	wait, _ := s.a.e.table.AvailableIn(time.Now(), []routing.Candidate{at})
	if wait > streamSilenceTimeout || time.Now().Add(wait).After(s.a.in.deadline) {
		return errors.Newf("server %q takes no request for %v: %w", at.Server, wait, routing.ErrCooldown)
	}
	select {
	case <-ctx.Done():
		return errors.Newf("await cooldown of server %q: %w", at.Server, ctx.Err())
	case <-time.After(wait):
		return nil
	}
}

// writeError ends a stream that cannot be completed with an error event: without it
// the caller would take the response for complete.
func (s *streamForwarder) writeError(err error) {
	r := refusal.New(refusal.StreamCut, "the stream broke: %v", err).WithOutcome(refusal.Unknown)
	s.a.e.cfg.Metrics.Refusal(r.Code().String(), r.Outcome().String())
	data, marshalErr := protojson.Marshal(r.ErrorReply(s.a.in.id))
	if marshalErr != nil {
		tcp.AbortResponse(s.c.Response())
	}
	w := s.c.Response()
	_, _ = w.Write([]byte("event: error\ndata: " + string(data) + "\n\n"))
	w.Flush()
}
