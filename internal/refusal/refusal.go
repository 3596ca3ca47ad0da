// Package refusal defines the final error responses that do not come from a backend server.
// Each has a stable code, states whether the request ran, and may contain when to retry.
package refusal

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"fennelyard/internal/schema"
)

//go:generate go tool stringer -type=Code,Outcome -linecomment

// Code identifies the reason of a refusal; its string is part of the interface.
type Code int

// The codes, with their strings as line comments.
const (
	BadRequest      Code = iota // bad-request
	BodyTooLarge                // body-too-large
	UnknownCustomer             // unknown-customer
	Unauthorized                // unauthorized
	UnknownTarget               // unknown-target
	DeadlinePassed              // deadline-passed
	CustomerLimit               // customer-limit
	QueueFull                   // queue-full
	TooLate                     // too-late
	NoCapacity                  // no-capacity
	NoLeader                    // no-leader
	KeyMissing                  // key-missing
	KeyReused                   // key-reused
	StillRunning                // still-running
	OutcomeUnknown              // outcome-unknown
	AnswerNotKept               // answer-not-kept
	BackendFailed               // backend-failed
	StreamCut                   // stream-cut
	Stopping                    // stopping
	NotReady                    // not-ready
	Internal                    // internal
	HeldBack                    // held-back
	NoPath                      // no-path
	NoMemory                    // no-memory
)

// Outcome is whether a request ran at a backend server.
type Outcome int

// The outcomes. NotRun is used only if it is proved that the request did not run.
const (
	NotRun  Outcome = iota // not-run
	Ran                    // ran
	Unknown                // unknown
)

// Refusal is a final error response to a caller. It implements error.
type Refusal struct {
	code       Code
	outcome    Outcome
	message    string
	retryAfter time.Duration
}

// New returns a refusal of a request that did not run. The message is formatted as by
// fmt.Sprintf.
func New(code Code, format string, args ...any) *Refusal {
	return &Refusal{code: code, outcome: NotRun, message: fmt.Sprintf(format, args...)}
}

// WithOutcome returns a copy with the given outcome.
func (r *Refusal) WithOutcome(o Outcome) *Refusal {
	c := *r
	c.outcome = o
	return &c
}

// WithRetryAfter returns a copy with the time after which the caller should retry. Zero or less
// means none.
func (r *Refusal) WithRetryAfter(d time.Duration) *Refusal {
	c := *r
	c.retryAfter = d
	return &c
}

// Code returns the stable code.
func (r *Refusal) Code() Code { return r.code }

// Outcome returns whether the request ran.
func (r *Refusal) Outcome() Outcome { return r.outcome }

// Message returns a description for people: what happened and what can be done.
func (r *Refusal) Message() string { return r.message }

// RetryAfter returns the time after which the caller should retry, or 0 for none.
func (r *Refusal) RetryAfter() time.Duration { return max(r.retryAfter, 0) }

// Error returns the code, the outcome and the message.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.code, r.outcome, r.message)
}

// ErrorReply returns the message that callers and operators receive for the request with this
// id. The message may quote bytes of a server that are no text, which no reply can hold.
func (r *Refusal) ErrorReply(id string) *schema.ErrorReply {
	return &schema.ErrorReply{Error: &schema.ErrorBody{
		Code: r.code.String(), Message: strings.ToValidUTF8(r.message, "\uFFFD"), Outcome: r.outcome.String(),
		RetryAfterMs: uint32(r.RetryAfter().Milliseconds()), RequestId: id,
	}}
}

// Status returns the HTTP status for the code.
func (r *Refusal) Status() int {
	switch r.code {
	case BadRequest, KeyMissing:
		return http.StatusBadRequest
	case Unauthorized:
		return http.StatusUnauthorized
	case UnknownCustomer:
		return http.StatusForbidden
	case UnknownTarget:
		return http.StatusNotFound
	case BodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case KeyReused:
		return http.StatusUnprocessableEntity
	case StillRunning, OutcomeUnknown, AnswerNotKept:
		return http.StatusConflict
	case CustomerLimit:
		return http.StatusTooManyRequests
	case DeadlinePassed:
		return http.StatusGatewayTimeout
	case BackendFailed, StreamCut:
		return http.StatusBadGateway
	case Internal:
		return http.StatusInternalServerError
	default:
		return http.StatusServiceUnavailable
	}
}
