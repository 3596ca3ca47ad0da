package fennelyard

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// Error is a final answer of the deployment that is not the answer of a model or
// service.
type Error struct {
	code       string
	message    string
	outcome    string
	requestID  string
	status     int
	retryAfter time.Duration
}

// Code returns the stable code, such as too-late.
func (e *Error) Code() string { return e.code }

// Outcome returns not-run, ran or unknown. It says not-run only when that is
// proved.
func (e *Error) Outcome() string { return e.outcome }

// RequestID names the request in the deployment's logs and traces.
func (e *Error) RequestID() string { return e.requestID }

// Status returns the HTTP status.
func (e *Error) Status() int { return e.status }

// RetryAfter returns when to come back, or 0 when that does not help.
func (e *Error) RetryAfter() time.Duration { return e.retryAfter }

// Error returns code, outcome and message.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.code, e.outcome, e.message)
}

// refusalOf returns nil for an answer of a model or service, which may have any
// status itself.
func refusalOf(resp *http.Response, body []byte) *Error {
	if resp.StatusCode < http.StatusBadRequest {
		return nil
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
