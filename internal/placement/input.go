package placement

import "time"

//go:generate go tool stringer -type=Tier,State,Kind -linecomment

// Tier is where a checkpoint lies.
type Tier int

// The tiers, the slowest first.
const (
	TierRemote Tier = iota // remote
	TierDisk               // disk
	TierMemory             // memory
)

// State is how far a replica has come.
type State int

// The states of a replica.
const (
	StateLoading   State = iota // loading
	StateLoaded                 // loaded
	StateUnloading              // unloading
)

// Server is an engine.
type Server struct {
	Name        string
	Incarnation uint64
	DataCentre  string
	// Accelerators holds each accelerator's memory in MiB.
	Accelerators []uint64
	// Usable is false for a server that is leaving, lost or suspected.
	Usable bool
	// Lost is true once the server is recorded as lost; one that is merely not
	// usable may come back.
	Lost bool
	// Leaving is true when the server's replicas should go once they are idle.
	Leaving bool
	// Cached tells in which tier the server holds a target's checkpoint.
	Cached map[string]Tier
}

// Model is a model or, with a base, an adapter.
type Model struct {
	Name        string
	Version     string
	Base        string
	MemoryMiB   uint64
	MinReplicas int
	MaxReplicas int
}

// Replica is a reservation.
type Replica struct {
	Number      uint64
	Target      string
	Version     string
	Server      string
	Accelerator int
	MemoryMiB   uint64
	State       State
	// Ready is when a load is expected to end.
	Ready time.Time
	// Since is when the state began.
	Since time.Time
	// Used is when the target last had a request; Running counts those that
	// wait or run for the target now.
	Used    time.Time
	Running int
}

// Demand is what waits for a target.
type Demand struct {
	Waiting int
	// Returning were refused and told to come back when a replica is ready.
	Returning int
	// First is the earliest deadline among the waiting; zero: none.
	First    time.Time
	Priority int32
}

// Speeds are what is believed about loads. See Learn.
type Speeds struct {
	// RemoteMiB, DiskMiB and MemoryMiB are rates of one load per second.
	RemoteMiB float64
	DiskMiB   float64
	MemoryMiB float64
	// LoadsPerSecond bounds the starts of remote loads; FullSpeed is how many
	// run side by side without slowing each other.
	LoadsPerSecond float64
	FullSpeed      int
}

// Weights are a deployment's prices.
type Weights struct {
	// ColdSecond is the price of a caller's wait of one second for a load.
	ColdSecond float64
	// IdleHour is the price of one accelerator that is held idle for an hour.
	IdleHour float64
	// PerReplica is the number of waiting requests that justify one replica.
	PerReplica int
}

// Input is everything that a decision depends on.
type Input struct {
	Now     time.Time
	Servers []Server
	// Model returns a configured model; false when it is not configured.
	Model func(name string) (Model, bool)
	// Settled is true in rounds that need not look at idle replicas.
	Settled bool
	// Ahead names targets that may be loaded before anyone waits for them; a
	// few per decision keep its price low.
	Ahead []string
	// Pinned names the models with a lower bound above 0.
	Pinned   []string
	Replicas []Replica
	Demands  map[string]Demand
	// Pattern returns what is learnt of a target's arrivals; nil: nothing.
	Pattern func(name string) *Pattern
	Speeds  Speeds
	Weights Weights
	// Keep, where set, replaces the learnt keep time of an idle replica: for
	// baselines.
	Keep func(r Replica) time.Duration
}

// Kind is what a decision asks for.
type Kind int

// The kinds of decisions.
const (
	KindLoad   Kind = iota // load
	KindUnload             // unload
)

// Decision asks for one order.
type Decision struct {
	Kind        Kind
	Target      string
	Server      string
	Incarnation uint64
	Accelerator int
	// Replica is the number of the replica to unload.
	Replica uint64
	// Ready is when a load is expected to end.
	Ready  time.Time
	Reason string
}

// Forecast is when a target that has none is expected to have a replica.
type Forecast struct {
	// Possible is false when nothing will be loaded; Reason tells why.
	Possible bool
	Ready    time.Time
	Reason   string
}

// Plan is the outcome of Decide.
type Plan struct {
	Decisions []Decision
	// Forecasts has every target with a demand and no loaded replica.
	Forecasts map[string]Forecast
	// Idle is the number of accelerators held without a request now. A replica
	// holds the share of its accelerator that its memory takes.
	Idle float64
}
