package loading

import (
	"context"
	"time"

	"fennelyard/internal/schema"
)

//go:generate go tool stringer -type=Outcome -linecomment

// Outcome is an engine's reply to an order.
type Outcome int

// The outcomes of an order.
const (
	// OutcomeUnknown: no conclusive reply; the order may have been taken, or may still be.
	OutcomeUnknown Outcome = iota // unknown
	// OutcomeTaken: the engine executes the order.
	OutcomeTaken // taken
	// OutcomeAlreadyDone: the state that the order requests exists already.
	OutcomeAlreadyDone // holds-already
	// OutcomeConflict: another order is in progress, or the engine has taken a different number
	// of orders than expected.
	OutcomeConflict // conflict
	// OutcomeOtherIncarnation: another incarnation is at the address.
	OutcomeOtherIncarnation // other-server
	// OutcomeRefused: the engine will not execute the order.
	OutcomeRefused // refused
)

// Order is an order to an engine.
type Order struct {
	// Server is the key of the incarnation that the order is for. Engines distinguish their
	// servers' ids but not their incarnations: see sentLoad.
	Server  string
	Load    bool
	Model   string
	Adapter string
	// OrdersTaken is how many orders the engine must have taken before this one.
	OrdersTaken uint64
	// Token is the fencing token: it grows with every order across all leaders.
	Token uint64
}

// Report is an engine's reply to a query of its state.
type Report struct {
	Loaded []*schema.HeldModel
	// Busy is set while an order for a model is in progress.
	Busy bool
	// OrdersTaken is the number of orders that the engine has taken.
	OrdersTaken uint64
	// StartMs is the start time of the reporting incarnation, in Unix milliseconds of its
	// clock; 0: not reported.
	StartMs int64
	// InMemory and OnDisk name the models of which the engine has copies.
	InMemory []string
	OnDisk   []string
}

// Engines is the client of the engines. Both functions are required.
type Engines struct {
	// SendOrder sends an order to an engine in the name of the order holder.
	SendOrder func(ctx context.Context, address, holder string, o Order) (Outcome, error)
	// FetchReport queries the engine with an incarnation's key for a report.
	FetchReport func(ctx context.Context, address, server string) (Report, error)
}

// Holder is the order holder of an engine: the control host that sends its orders.
type Holder struct {
	Host string
	// Settled is set once the lease of the previous holder is over, or if there was none.
	Settled bool
}

// HolderChange replaces the order holder of an engine.
type HolderChange struct {
	From string
	To   Holder
}

// Holders stores each engine's order holder, by the server's id: an engine must not get orders
// from two holders in turns because it restarted in between. All functions are required.
type Holders struct {
	// Get returns an engine's recorded holder, or the zero value.
	Get func(server string) Holder
	// Servers returns the ids of the engines that have a recorded holder.
	Servers func() []string
	// Hosts returns the hosts that may be holders.
	Hosts func() []string
	// Record records changes of holders, by server, each only if From is the recorded holder,
	// and removes the holders of the stale servers. Without an error the changes are durable at
	// a quorum, and Get returns the result.
	Record func(ctx context.Context, changes map[string]HolderChange, stale []string) error
	// SendOrder sends an order to an engine through its holder. It returns ErrNotSent if the
	// order was not sent.
	SendOrder func(ctx context.Context, host string, term uint64, address string, o Order) (Outcome, error)
}

const (
	// orderTimeout is how long to wait for an engine's reply to an order. A reply takes a round
	// trip; any longer timeout delays the first orders of a new leader, and requests for rare
	// models with them.
	orderTimeout = 400 * time.Millisecond
	// maxReportLag is the maximal age of a report when it arrives: engines report a state some
	// hundred milliseconds old.
	maxReportLag = 400 * time.Millisecond
)
