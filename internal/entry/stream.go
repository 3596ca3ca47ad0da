package entry

import (
	"bufio"
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

	"fennelyard/internal/refusal"
	"fennelyard/internal/routing"
)

const (
	maxEventBytes = 1 << 20
	// maxResumes bounds how often one stream is continued.
	maxResumes = 3
	// streamSilence is how long an open stream may bring nothing. Engines send
	// tokens or comments more often.
	streamSilence = 15 * time.Second
)

var (
	errEventTooLarge = errors.New("a stream event is too large")
	doneMark         = []byte("[DONE]")
)

// event is one server-sent event with its closing blank line.
type event struct {
	raw []byte
	// id is the number in its id field, or 0.
	id   uint64
	data []byte
}

// readEvent reads one whole event; half an event is an error, so that no caller
// ever sees a part of one.
func readEvent(r *bufio.Reader) (event, error) {
	var ev event
	for {
		line, err := r.ReadSlice('\n')
		if err != nil {
			if errors.Is(err, bufio.ErrBufferFull) {
				return event{}, errEventTooLarge
			}
			return event{}, err
		}
		ev.raw = append(ev.raw, line...)
		if len(ev.raw) > maxEventBytes {
			return event{}, errEventTooLarge
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			return ev, nil
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
}

// passStream passes events on as they come. After the first one there is no
// other attempt; an engine that numbers its events is asked to resume.
func (a *attempts) passStream(ctx context.Context, c echo.Context, chosen routing.Candidate, call routing.Call,
	reply *routing.Reply,
) (finished, served bool, r *refusal.Refusal) {
	s := &streamCopy{a: a, c: c}
	err := s.copy(ctx, reply)
	if err != nil {
		a.e.brokeOff(ctx, a.in, chosen, err)
	}
	for resumes := 0; err != nil && s.lastID > 0 && resumes < maxResumes && ctx.Err() == nil; resumes++ {
		err = s.resume(ctx, call)
	}
	a.done(chosen, routing.Result{
		OK: err == nil || ctx.Err() != nil, FirstByte: reply.FirstByte(), Reported: reply.Outstanding(),
	})
	if err == nil {
		a.e.guard.AttemptCompleted(a.in.subject())
		return true, true, nil
	}
	if !s.began {
		return a.failed(ctx, chosen, err)
	}
	s.cut(err)
	return true, false, nil
}

// streamCopy copies one answer's events to the caller.
type streamCopy struct {
	a     *attempts
	c     echo.Context
	began bool
	// lastID is the number of the last event passed on; events up to it are
	// dropped after a resume.
	lastID uint64
}

// copy returns nil only after the end mark. A connection that closes cleanly
// before it is a cut stream all the same.
func (s *streamCopy) copy(ctx context.Context, reply *routing.Reply) error {
	silence := time.AfterFunc(streamSilence, reply.Close)
	defer silence.Stop()
	r := bufio.NewReaderSize(reply.Body(), maxEventBytes)
	for {
		ev, err := readEvent(r)
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return errors.Newf("read stream: %w", err)
		}
		silence.Reset(streamSilence)
		if ev.id > 0 && ev.id <= s.lastID {
			continue
		}
		if ctx.Err() != nil {
			return errors.Newf("pass stream: %w", ctx.Err())
		}
		s.pass(reply, ev)
		if bytes.Equal(ev.data, doneMark) {
			return nil
		}
	}
}

func (s *streamCopy) pass(reply *routing.Reply, ev event) {
	w := s.c.Response()
	if !s.began {
		s.began = true
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Cache-Control", "no-store")
		w.Header().Set(routing.HeaderRequestID, s.a.in.id)
		w.WriteHeader(reply.Status())
		s.a.e.cfg.Metrics.FirstByte(s.a.in.kind, time.Since(s.a.in.began), s.a.cold)
	}
	s.lastID = max(s.lastID, ev.id)
	// A caller that went away ends the context; a write error tells no more.
	_, _ = w.Write(ev.raw)
	w.Flush()
}

// resume asks the same server for the events after the last one passed on.
func (s *streamCopy) resume(ctx context.Context, call routing.Call) error {
	call.Header = call.Header.Clone()
	call.Header.Set("Last-Event-ID", strconv.FormatUint(s.lastID, 10))
	call.NewConnection = true
	reply, err := s.a.e.sender.Send(ctx, call)
	if err != nil {
		return errors.Newf("resume: %w", err)
	}
	defer reply.Close()
	if reply.Status() != http.StatusOK || reply.NotRun() {
		return errors.Newf("resume: status %d", reply.Status())
	}
	return s.copy(ctx, reply)
}

// cut ends a stream that cannot be completed by an explicit error: a clean end
// would pass for a whole answer.
func (s *streamCopy) cut(err error) {
	r := refusal.New(refusal.StreamCut, "the stream broke: %v", err).WithOutcome(refusal.Unknown)
	s.a.e.cfg.Metrics.Refusal(r.Code().String(), r.Outcome().String())
	data, merr := protojson.Marshal(r.ErrorReply(s.a.in.id))
	if merr != nil {
		return
	}
	w := s.c.Response()
	_, _ = w.Write([]byte("event: error\ndata: " + string(data) + "\n\n"))
	w.Flush()
}
