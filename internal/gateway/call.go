package gateway

import (
	"net/http"
	"time"
)

// Part is a part of a prompt that requests share; an engine that keeps it need
// not read it again.
type Part struct {
	ID     string
	Tokens int
}

// Call is what a caller's request says of itself.
type Call struct {
	// ID names this attempt of the caller.
	ID string
	// Caller is the API key of the caller's team, empty for none.
	Caller string
	// Wait is how long the caller will wait; 0: not told.
	Wait time.Duration
	// Model is empty for requests to plain services; Adapter may be empty.
	Model   string
	Adapter string
	Parts   []Part
	// PromptTokens and OutputTokens are 0 where they are not told.
	PromptTokens int
	OutputTokens int
	// TokensTold is set where the request declares its tokens.
	TokensTold bool
	// After is the last event that the caller has of an earlier answer; 0: none.
	After int64
}

// Mark is what a request carries to a backend server.
type Mark struct {
	// Server is the id of the server that the request is for.
	Server string
	Left   time.Duration
	// After is the last event that need not be sent again; 0: all are wanted.
	After int64
	// Urgency is 0 for the most urgent requests, at most 9.
	Urgency int
	// Team is the name of the caller's team, empty for none.
	Team string
}

// Verdict is what the header of a backend server's answer proves.
type Verdict struct {
	// NotRun is set where the server says that the request did not run there.
	NotRun bool
	// Elsewhere is set where the server is another one than was meant, or does
	// not hold the model.
	Elsewhere bool
	// Signed is set where the answer was made by the server's service.
	Signed bool
}

// Codec reads and writes the headers in which callers, this system and backend
// servers tell each other of a request. All functions are required.
type Codec struct {
	Read  func(*http.Request) Call
	Mark  func(http.Header, Mark)
	Own   func(answer http.Header, id string) bool
	Judge func(status int, answer http.Header) Verdict
}
