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
	// ReadyAt is when a load is expected to end.
	ReadyAt time.Time
	// Since is when the state began.
	Since time.Time
	// LastUsed is when the target last had a request; Running counts those that
	// wait or run for the target now.
	LastUsed time.Time
	Running  int
}

// Demand is what waits for a target.
type Demand struct {
	Waiting int
	// ExpectedRetries were refused and told to come back when a replica is ready.
	ExpectedRetries int
	// EarliestDeadline is the earliest deadline among the waiting; zero: none.
	EarliestDeadline time.Time
	Priority         int32
}

// LoadSpeeds are what is believed about loads. See Learn.
type LoadSpeeds struct {
	// RemoteMiBPerSecond, DiskMiB and MemoryMiB are rates of one load per second.
	RemoteMiBPerSecond float64
	DiskMiBPerSecond   float64
	MemoryMiBPerSecond float64
	// LoadsPerSecond bounds the starts of remote loads; FullSpeed is how many
	// run side by side without slowing each other.
	LoadsPerSecond float64
	FullSpeedLoads int
}

// Prices are a deployment's prices.
type Prices struct {
	// ColdStartSecond is the price of a caller's wait of one second for a load.
	ColdStartSecond float64
	// IdleAcceleratorHour is the price of one accelerator that is held idle for an hour.
	IdleAcceleratorHour float64
	// WaitingPerReplica is the number of waiting requests that justify one replica.
	WaitingPerReplica int
}

// Input is everything that a decision depends on.
type Input struct {
	Now     time.Time
	Servers []Server
	// Model returns a configured model; false when it is not configured.
	Model func(name string) (Model, bool)
	// SkipIdle is true in rounds that need not look at idle replicas.
	SkipIdle bool
	// PreloadCandidates names targets that may be loaded before anyone waits for them; a
	// few per decision keep its price low.
	PreloadCandidates []string
	// Pinned names the models with a lower bound above 0.
	Pinned   []string
	Replicas []Replica
	Demands  map[string]Demand
	// Pattern returns what is learnt of a target's arrivals; nil: nothing.
	Pattern func(name string) *ArrivalPattern
	Speeds  LoadSpeeds
	Prices  Prices
	// IdleTimeout, where set, replaces the learnt keep time of an idle replica: for
	// baselines.
	IdleTimeout func(r Replica) time.Duration
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
	// ReadyAt is when a load is expected to end.
	ReadyAt time.Time
	Reason  string
}

// Forecast is when a target that has none is expected to have a replica.
type Forecast struct {
	// Possible is false when nothing will be loaded; Reason tells why.
	Possible bool
	ReadyAt  time.Time
	Reason   string
}

// Plan is the outcome of Decide.
type Plan struct {
	Decisions []Decision
	// Forecasts has every target with a demand and no loaded replica.
	Forecasts map[string]Forecast
	// IdleAccelerators is the number of accelerators held without a request now. A replica
	// holds the share of its accelerator that its memory takes.
	IdleAccelerators float64
}
