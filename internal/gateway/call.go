package gateway

import (
	"net/http"
	"time"
)

// PromptPart is a part of a prompt that requests share; an engine that keeps it need
// not read it again.
type PromptPart struct {
	ID     string
	Tokens int
}

// RequestInfo is what a caller's request says of itself.
type RequestInfo struct {
	// ID names this attempt of the caller.
	ID string
	// APIKey is the API key of the caller's team, empty for none.
	APIKey string
	// Timeout is how long the caller will wait; 0: not told.
	Timeout time.Duration
	// Model is empty for requests to plain services; Adapter may be empty.
	Model       string
	Adapter     string
	PromptParts []PromptPart
	// PromptTokens and OutputTokens are 0 where they are not told.
	PromptTokens int
	OutputTokens int
	// TokensDeclared is set where the request declares its tokens.
	TokensDeclared bool
	// LastEventID is the last event that the caller has of an earlier answer; 0: none.
	LastEventID int64
}

// ForwardInfo is what a request carries to a backend server.
type ForwardInfo struct {
	// Server is the id of the server that the request is for.
	Server  string
	Timeout time.Duration
	// LastEventID is the last event that need not be sent again; 0: all are wanted.
	LastEventID int64
	// Priority is 0 for the most urgent requests, at most 9.
	Priority int
	// Team is the name of the caller's team, empty for none.
	Team string
}

// ResponseInfo is what the header of a backend server's answer proves.
type ResponseInfo struct {
	// NotRun is set where the server says that the request did not run there.
	NotRun bool
	// Misdirected is set where the server is another one than was meant, or does
	// not hold the model.
	Misdirected bool
	// Signed is set where the answer was made by the server's service.
	Signed bool
}

// Codec reads and writes the headers in which callers, this system and backend
// servers tell each other of a request. All functions are required.
type Codec struct {
	ParseRequest     func(*http.Request) RequestInfo
	SetForwardHeader func(http.Header, ForwardInfo)
	MatchesRequest   func(answer http.Header, id string) bool
	ParseResponse    func(status int, answer http.Header) ResponseInfo
}
