package drain

import (
	"context"
	"time"
)

// Steps are what a process does in the course of a drain. All fields are required.
type Steps struct {
	// StopAccepting is called once, when connections are accepted no longer.
	StopAccepting func()
	// Abort is called from AbortAt on, repeatedly: requests may still arrive on open connections.
	Abort func()
	// Pending returns the number of requests, tunnels and connections on which a request may still come.
	Pending func() int
}

// Run takes the steps of the plan. It returns once connections are accepted no longer and nothing is pending, at
// CloseAt, or when the context has ended.
func (p *Plan) Run(ctx context.Context, steps Steps) {
	ticker := time.NewTicker(PollInterval)
	defer ticker.Stop()
	for accepting := true; ctx.Err() == nil; <-ticker.C {
		now := time.Now()
		if accepting && now.After(p.AcceptUntil()) {
			accepting = false
			steps.StopAccepting()
		}
		if now.After(p.AbortAt()) {
			steps.Abort()
		}
		if now.After(p.CloseAt()) || !accepting && steps.Pending() == 0 {
			return
		}
	}
}
