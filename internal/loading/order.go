package loading

import (
	"context"
	"time"

	"fennelyard/internal/schema"
)

//go:generate go tool stringer -type=Outcome -linecomment

// Outcome is what an engine answered to an order.
type Outcome int

// The outcomes of an order.
const (
	// OutcomeUnknown: no answer, or one that proves nothing; the order may have
	// been taken, or may still be.
	OutcomeUnknown Outcome = iota // unknown
	// OutcomeTaken: the engine carries the order out.
	OutcomeTaken // taken
	// OutcomeHolds: things are as the order wants them already.
	OutcomeHolds // holds-already
	// OutcomeConflict: another order is under way, or the engine has taken
	// another number of orders than was expected.
	OutcomeConflict // conflict
	// OutcomeOther: another incarnation lives at the address.
	OutcomeOther // other-server
	// OutcomeRefused: the engine will not carry the order out.
	OutcomeRefused // refused
)

// Order is an order to an engine.
type Order struct {
	// Server is the key of the incarnation that the order is for. Engines tell their
	// servers apart, but not one start from the next: see sentLoad.
	Server  string
	Load    bool
	Model   string
	Adapter string
	// OrdersTaken is how many orders the engine must have taken before this one.
	OrdersTaken uint64
	// FencingToken grows with every order over all leaders.
	FencingToken uint64
}

// Report is what an engine says of itself when asked.
type Report struct {
	Loaded []*schema.HeldModel
	// Busy is set while a model's order is under way.
	Busy bool
	// OrdersTaken is the number of orders that the engine has taken.
	OrdersTaken uint64
	// StartMs is the start that reports, in Unix milliseconds by its clock; 0: not told.
	StartMs int64
	// InMemory and OnDisk name the models that the engine has copies of.
	InMemory []string
	OnDisk   []string
}

// Engines reaches the engines. Both functions are required.
type Engines struct {
	// SendOrder sends an order under the name of the host that sends it.
	SendOrder func(ctx context.Context, address, holder string, o Order) (Outcome, error)
	// FetchReport asks the engine of an incarnation's key for a report.
	FetchReport func(ctx context.Context, address, server string) (Report, error)
}

// Holder is the control host that gives an engine its orders.
type Holder struct {
	Host string
	// Settled is set once the lease of an earlier holder is over, or where there
	// was none.
	Settled bool
}

// HolderChange gives an engine's orders to a host in place of another.
type HolderChange struct {
	From string
	To   Holder
}

// Holders keeps each engine's order holder, by the server's id: an engine must not see
// two holders take turns because it started again in between. All functions are required.
type Holders struct {
	// Get returns an engine's recorded holder, or the zero value.
	Get func(server string) Holder
	// Servers returns the engines that have a holder.
	Servers func() []string
	// Hosts returns the hosts that may be holders.
	Hosts func() []string
	// Record records changes of holders, by engine, where From is what is recorded,
	// and forgets some engines. Without an error it is durable at a quorum, and Of
	// tells what became of it.
	Record func(ctx context.Context, changes map[string]HolderChange, forgotten []string) error
	// SendOrder has an engine's holder give it an order. Its error is ErrNotSent where
	// the order did not leave.
	SendOrder func(ctx context.Context, host string, term uint64, address string, o Order) (Outcome, error)
}

const (
	// orderWait is how long an engine's answer to an order is waited for. An answer
	// takes a round trip; whatever this is longer, a new leader waits longer before
	// it gives orders, and callers of rare models wait with it.
	orderWait = 400 * time.Millisecond
	// reportLag is how old a report may be when it comes: engines report a state
	// of some hundred milliseconds ago.
	reportLag = 400 * time.Millisecond
)
