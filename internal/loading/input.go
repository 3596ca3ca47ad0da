package loading

import "time"

// Model is a model of a pool with what is known of its demand.
type Model struct {
	Name      string
	MemoryMB  float64
	AdapterMB float64
	// Load times by where the engine finds the weights.
	StoreLoadTime  time.Duration
	DiskLoadTime   time.Duration
	MemoryLoadTime time.Duration
	// Rate is the number of requests a second that is expected in the seconds to
	// come.
	Rate float64
	// PrefillTime is how long an engine reads one of its prompts; 0: not known.
	PrefillTime time.Duration
	// RequestTime is how long an engine has one of its requests; 0: not known.
	RequestTime time.Duration
	// LastRequested is when a request last came.
	LastRequested time.Time
	// Waiting is the number of requests that wait for a replica.
	Waiting int
	// Suspended is set while the model is not to be loaded, as engines ended under its loads.
	Suspended bool
	// Adapters are the names of its adapters, and AdapterRate the requests a second of
	// those that are asked for.
	Adapters    []string
	AdapterRate map[string]float64
}

// LoadedModel is a model in an engine's memory.
type LoadedModel struct {
	Model string
	Since time.Time
	// InUse is set while requests for it are at the engine.
	InUse bool
	// Adapters tells when each adapter was last asked for, and AdapterRuns which of
	// them have requests at the engine.
	Adapters     map[string]time.Time
	AdapterInUse map[string]bool
}

// Engine is an engine that takes new work.
type Engine struct {
	ID       string
	Loaded   []LoadedModel
	InMemory map[string]bool
	OnDisk   map[string]bool
	// Busy is set while a model's order is under way or its outcome is not known.
	Busy bool
	// Incoming is the model that the order under way loads or makes room for.
	Incoming string
	// Unloading is the model that the order under way unloads.
	Unloading string
	// FromStore is set while the load under way is from the weight store.
	FromStore bool
	// RoomMadeFor is the model that room was made for a moment ago; "": none.
	RoomMadeFor string
	// LateLoads are the models, and adapters, that orders to earlier starts of the server may
	// yet bring. They must have room, or the engine ends.
	LateLoads []ModelRef
}

// ModelRef is an adapter that requests wait for, or that may come; without Adapter
// the model itself.
type ModelRef struct {
	Model   string
	Adapter string
}

// Input is what Decide decides from; it is not changed.
type Input struct {
	Now time.Time
	// MemoryMB and Places are each engine's memory and places for adapters, and Slots
	// how many requests it works on at once; 0: not known.
	MemoryMB        float64
	AdapterSlots    int
	Slots           int
	Models          map[string]*Model
	Engines         []*Engine
	WaitingAdapters []ModelRef
	// StoreLoadsAllowed is how many loads from the weight store may begin now.
	StoreLoadsAllowed int
	// StoreConcurrency is how many the store is taken to serve at full speed.
	StoreConcurrency int
	// StoreLoadsRunning is how many are under way.
	StoreLoadsRunning int
}

//go:generate go tool stringer -type=Reason -linecomment

// Reason is why an order is given.
type Reason int

// The reasons of orders.
const (
	// ReasonWaiting: callers wait for a model that no engine has.
	ReasonWaiting Reason = iota // waiting
	// ReasonBusy: the replicas of a model have too many requests.
	ReasonBusy // busy
	// ReasonStock: there are too few copies of a model, or an adapter is loaded
	// ahead.
	ReasonStock // stock
)

// Action is one order to give.
type Action struct {
	Reason  Reason
	Engine  string
	Load    bool
	Model   string
	Adapter string
	// RoomFor is the model that an unload makes room for.
	RoomFor string
	// FromStore is set for a load that the weight store will serve.
	FromStore bool
}

// Blocked is a model that lacks a replica and can't be given one now, with the
// number of engines that are ruled out for each reason.
type Blocked struct {
	Model string
	Rate  float64
	// Busy engines have another order under way, Holding ones have none and hold the
	// model, at Full ones nothing may go for it, and Store ones would load it from the
	// weight store, whose pace is used up.
	Busy, Loaded, Full, StoreLimited int
}
