package placement

import "time"

//go:generate go tool stringer -type=Tier,State,Kind -linecomment

// Tier is the storage tier of a checkpoint.
type Tier int

// The tiers, the slowest first.
const (
	TierRemote Tier = iota // remote
	TierDisk               // disk
	TierMemory             // memory
)

// State is the state of a replica.
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
	// Accelerators is the memory of each accelerator in MiB.
	Accelerators []uint64
	// Usable is false for a server that is leaving, lost or suspected.
	Usable bool
	// Lost is true once the server is recorded as lost; one that is only unusable may come
	// back.
	Lost bool
	// Leaving is true when the server's replicas should be unloaded once they are idle.
	Leaving bool
	// Cached is the tier in which the server has a target's checkpoint.
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
	// LastUsed is when the target last had a request; Running counts the requests that wait or
	// run for the target now.
	LastUsed time.Time
	Running  int
}

// Demand is the demand for a target.
type Demand struct {
	Waiting int
	// ExpectedRetries is the number of requests that were refused and are expected to be retried
	// when a replica is expected to be ready.
	ExpectedRetries int
	// EarliestDeadline is the earliest deadline among the waiting requests; zero: none.
	EarliestDeadline time.Time
	Priority         int32
}

// LoadSpeeds are the assumed load speeds. SpeedEstimator estimates them.
type LoadSpeeds struct {
	// RemoteMiBPerSecond, DiskMiBPerSecond and MemoryMiBPerSecond are the rates of a single
	// load.
	RemoteMiBPerSecond float64
	DiskMiBPerSecond   float64
	MemoryMiBPerSecond float64
	// LoadsPerSecond bounds the starts of remote loads; FullSpeedLoads is how many run
	// concurrently without slowing each other.
	LoadsPerSecond float64
	FullSpeedLoads int
}

// Prices are the prices that decisions trade off.
type Prices struct {
	// ColdStartSecond is the price of one second that a request waits for a load.
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
	// Model returns a configured model; false if it is not configured.
	Model func(name string) (Model, bool)
	// SkipIdle is true in rounds that do not check idle replicas.
	SkipIdle bool
	// PreloadCandidates are targets that may be loaded before a request waits for them. The
	// caller passes a few per decision to bound its cost.
	PreloadCandidates []string
	// Pinned are the models with a lower bound above 0.
	Pinned   []string
	Replicas []Replica
	Demands  map[string]Demand
	// Pattern returns the arrival pattern of a target; nil: unknown.
	Pattern func(name string) *ArrivalPattern
	Speeds  LoadSpeeds
	Prices  Prices
	// IdleTimeout, if set, replaces the price comparison for idle replicas: one is unloaded
	// after this time. Baselines of the replay use it.
	IdleTimeout func(r Replica) time.Duration
}

// Kind is the kind of a decision.
type Kind int

// The kinds of decisions.
const (
	KindLoad   Kind = iota // load
	KindUnload             // unload
)

// Decision is a decision to send one order.
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

// Forecast is when a target without a replica is expected to have one.
type Forecast struct {
	// Possible is false when nothing will be loaded, for Reason.
	Possible bool
	ReadyAt  time.Time
	Reason   string
}

// Plan is the outcome of Decide.
type Plan struct {
	Decisions []Decision
	// Forecasts has every target with a demand and no loaded replica.
	Forecasts map[string]Forecast
	// IdleAccelerators is the number of accelerators held without a request. A replica holds
	// the share of its accelerator that its memory takes.
	IdleAccelerators float64
}
