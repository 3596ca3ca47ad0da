package loading

import "time"

// Model is a model of a pool with what is known of its demand.
type Model struct {
	Name      string
	MemoryMB  float64
	AdapterMB float64
	// Load times by where the engine finds the weights.
	FromStore  time.Duration
	FromDisk   time.Duration
	FromMemory time.Duration
	// Rate is the number of requests a second that is expected in the seconds to
	// come.
	Rate float64
	// Read is how long an engine reads one of its prompts; 0: not known.
	Read time.Duration
	// Run is how long an engine has one of its requests; 0: not known.
	Run time.Duration
	// Asked is when a request last came.
	Asked time.Time
	// Waiting is the number of requests that wait for a replica.
	Waiting int
	// Barred is set while the model is not to be loaded, as engines ended under its loads.
	Barred bool
	// Adapters are the names of its adapters, and AdapterRate the requests a second of
	// those that are asked for.
	Adapters    []string
	AdapterRate map[string]float64
}

// Held is a model in an engine's memory.
type Held struct {
	Model string
	Since time.Time
	// Runs is set while requests for it are at the engine.
	Runs bool
	// Adapters tells when each adapter was last asked for, and AdapterRuns which of
	// them have requests at the engine.
	Adapters    map[string]time.Time
	AdapterRuns map[string]bool
}

// Engine is an engine that takes new work.
type Engine struct {
	ID       string
	Held     []Held
	InMemory map[string]bool
	OnDisk   map[string]bool
	// Busy is set while a model's order is under way or its outcome is not known.
	Busy bool
	// Coming is the model that the order under way loads or makes room for.
	Coming string
	// Leaving is the model that the order under way unloads.
	Leaving string
	// FromStore is set while the load under way is from the weight store.
	FromStore bool
	// Cleared is the model that room was made for a moment ago; "": none.
	Cleared string
	// Late are the models, and adapters, that orders to earlier starts of the server may
	// yet bring. They must have room, or the engine ends.
	Late []AdapterDemand
}

// AdapterDemand is an adapter that requests wait for, or that may come; without Adapter
// the model itself.
type AdapterDemand struct {
	Model   string
	Adapter string
}

// Input is what Decide decides from; it is not changed.
type Input struct {
	Now time.Time
	// MemoryMB and Places are each engine's memory and places for adapters, and Slots
	// how many requests it works on at once; 0: not known.
	MemoryMB float64
	Places   int
	Slots    int
	Models   map[string]*Model
	Engines  []*Engine
	Adapters []AdapterDemand
	// StoreLoads is how many loads from the weight store may begin now.
	StoreLoads int
	// StoreAtOnce is how many the store is taken to serve at full speed.
	StoreAtOnce int
	// StoreRunning is how many are under way.
	StoreRunning int
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
	// For is the model that an unload makes room for.
	For string
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
	Busy, Holding, Full, Store int
}
