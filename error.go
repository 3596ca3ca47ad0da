package fennelyard

import (
	"bytes"
	"encoding/json"
	"fmt"
	"mime"
	"net/http"
	"time"
)

const (
	// codeNoEntry is the code of an Error of the client itself: it sends nothing to any entry, as all
	// have asked it to wait.
	codeNoEntry   = "no-entry"
	outcomeNotRun = "not-run"
)

// Error is a refusal or failure that the deployment itself returns, rather than
// the response of a model or service.
type Error struct {
	code       string
	message    string
	outcome    string
	requestID  string
	status     int
	retryAfter time.Duration
}

// Code returns the stable error code, such as too-late.
func (e *Error) Code() string { return e.code }

// Outcome returns not-run, ran or unknown. It is not-run only when it is proved
// that the request did not run.
func (e *Error) Outcome() string { return e.outcome }

// RequestID returns the ID of the request in the deployment's logs and traces.
func (e *Error) RequestID() string { return e.requestID }

// Status returns the HTTP status.
func (e *Error) Status() int { return e.status }

// RetryAfter returns the delay after which to retry, or 0 when a retry cannot
// succeed.
func (e *Error) RetryAfter() time.Duration { return e.retryAfter }

// concernsEntry reports whether the refusal is for the state of the entry that made it, so that other
// entries may serve the request.
func (e *Error) concernsEntry() bool {
	return e.code == "stopping" || e.code == "not-ready" || e.code == "no-memory"
}

// Error returns the code, the outcome and the message.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.code, e.outcome, e.message)
}

// errorEvent is the beginning of the event with which an entry ends a stream that breaks.
const errorEvent = "event: error\ndata: "

// lastError returns the data of the last event of a response that is a stream, if an entry sent it to say that the
// stream broke.
func lastError(resp *http.Response, body []byte) []byte {
	if kind, _, err := mime.ParseMediaType(resp.Header.Get("Content-Type")); err != nil || kind != "text/event-stream" {
		return nil
	}
	event := bytes.TrimRight(body, "\n")
	if i := bytes.LastIndex(event, []byte("\n\n")); i >= 0 {
		event = event[i+2:]
	}
	data, broken := bytes.CutPrefix(event, []byte(errorEvent))
	if !broken {
		return nil
	}
	return data
}

// parseError returns the error in a response of the deployment itself, or nil for
// a response of a model or service, which may have any status too.
func parseError(resp *http.Response, body []byte) *Error {
	if resp.StatusCode < http.StatusBadRequest {
		// The status was sent before the stream broke.
		if body = lastError(resp, body); body == nil {
			return nil
		}
	}
	var reply struct {
		Error struct {
			Code         string `json:"code"`
			Message      string `json:"message"`
			Outcome      string `json:"outcome"`
			RetryAfterMs int64  `json:"retry-after-ms"`
			RequestID    string `json:"request-id"`
		} `json:"error"`
	}
	if json.Unmarshal(body, &reply) != nil || reply.Error.Outcome == "" {
		return nil
	}
	return &Error{
		code: reply.Error.Code, message: reply.Error.Message, outcome: reply.Error.Outcome,
		requestID: reply.Error.RequestID, status: resp.StatusCode,
		retryAfter: time.Duration(reply.Error.RetryAfterMs) * time.Millisecond,
	}
}
