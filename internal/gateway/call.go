package gateway

import (
	"net/http"
	"strconv"
	"time"

	"fennelyard/internal/cooldown"
	"fennelyard/internal/quarantine"
)

// PromptPart is a part of a prompt that requests share; an engine with the part in its prefix
// cache skips its prefill.
type PromptPart struct {
	ID     string
	Tokens int
}

// RequestInfo holds the attributes of a caller's request.
type RequestInfo struct {
	// ID identifies this attempt of the caller.
	ID string
	// APIKey is the API key of the caller's team, empty for none.
	APIKey string
	// Timeout is how long the caller waits for the response; 0 if not declared.
	Timeout time.Duration
	// Model is empty for requests to plain services; Adapter may be empty.
	Model       string
	Adapter     string
	PromptParts []PromptPart
	// PromptTokens and OutputTokens are 0 if not declared.
	PromptTokens int
	OutputTokens int
	// TokensDeclared is set if the request declares its tokens.
	TokensDeclared bool
	// LastEventID is the id of the last event that the caller received of an earlier response; 0:
	// none.
	LastEventID int64
	// Resumes is the ID of the caller's attempt that brought the first event of the stream that this one
	// continues; empty: not stated. ResumesInvalid is set if it is stated more than once or malformed.
	Resumes        string
	ResumesInvalid bool
	// resumable is set for a new stream that its caller may resume. bound is set for one that goes on only
	// at servers whose software is of a version.
	resumable, bound bool
	version          string
	// hold is from which kinds of servers the request is held back.
	hold quarantine.Hold
	// copyKey is the same for the copies of a request to a plain service that may still crash its servers, as none
	// has completed; empty for all other requests.
	copyKey string
}

// ForwardInfo holds the attributes that are added to a request to a backend server.
type ForwardInfo struct {
	// Server is the id of the server that the request is for.
	Server string
	// Timeout is the time left until the caller's deadline.
	Timeout time.Duration
	// LastEventID is the id of the last event that need not be sent again; 0: all are needed.
	LastEventID int64
	// Priority ranges from 0, the highest, to 9.
	Priority int
	// Team is the name of the caller's team, empty for none.
	Team string
}

// ResponseInfo holds what the header of a backend server's response proves.
type ResponseInfo struct {
	// NotRun is set if the server states that the request did not run there.
	NotRun bool
	// Misdirected is set if the request reached another server than intended, or one without the
	// model.
	Misdirected bool
	// Signed is set if the response was produced by the server's service.
	Signed bool
	// Limit is the request limit that the response states.
	Limit LimitStatement
	// RejectionLimit is the number of requests a second that the server can reject for lack of room,
	// those of all entries together, without crashing.
	RejectionLimit LimitStatement
	// Cooldown is the time for which the server asks this entry to send it nothing.
	Cooldown cooldown.Statement
	// Leaving is set if the server states that it takes no new work.
	Leaving bool
}

// LimitStatement is what a response states about the number of requests that its server takes
// from all entries together.
type LimitStatement struct {
	// Limited is set if the server states a limit, of PerSecond requests a second.
	Limited   bool
	PerSecond float64
	// Unreadable is set if the statement cannot be decoded: it neither sets nor ends a limit.
	Unreadable bool
}

func (l LimitStatement) String() string {
	switch {
	case l.Unreadable:
		return "unreadable"
	case l.Limited:
		return strconv.FormatFloat(l.PerSecond, 'g', -1, 64)
	}
	return ""
}

// Codec reads and writes the headers with request attributes between callers, entries and
// backend servers. All functions are required.
type Codec struct {
	ParseRequest     func(*http.Request) RequestInfo
	SetForwardHeader func(http.Header, ForwardInfo)
	MatchesRequest   func(response http.Header, id string) bool
	ParseResponse    func(status int, response http.Header) ResponseInfo
	// ParseIdentity returns the server that a response to a health check names, empty if it names none.
	ParseIdentity func(response http.Header) string
}
