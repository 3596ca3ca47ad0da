package cooldown

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Error is returned for a call that its server rejected with a wait, or that was not sent for one.
type Error struct {
	// Wait is how long the server gets no further call.
	Wait time.Duration
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("the server takes no calls for %v", e.Wait) }

// WaitOf returns how long the server of a failed call takes no further one, 0 if the error does not
// say so.
func WaitOf(err error) time.Duration {
	var rejected *Error
	if errors.As(err, &rejected) {
		return rejected.Wait
	}
	return 0
}
