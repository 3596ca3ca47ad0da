package loading

import "time"

// Model is a model of a pool and its demand.
type Model struct {
	Name      string
	MemoryMB  float64
	AdapterMB float64
	// Load times by the location of the weights.
	StoreLoadTime  time.Duration
	DiskLoadTime   time.Duration
	MemoryLoadTime time.Duration
	// Rate is the request rate, in 1/s, expected in the next seconds.
	Rate float64
	// PrefillTime is the mean prefill time of a request of the model; 0: unknown.
	PrefillTime time.Duration
	// RequestTime is the mean time that a request of the model runs at an engine; 0: unknown.
	RequestTime time.Duration
	// LastRequested is when the last request arrived.
	LastRequested time.Time
	// Waiting is the number of requests that wait for a replica.
	Waiting int
	// Suspended is set while the model must not be loaded because engines crashed under its
	// loads.
	Suspended bool
	// Adapters are the names of its adapters, and AdapterRate the request rates, in 1/s, of
	// those with requests.
	Adapters    []string
	AdapterRate map[string]float64
}

// LoadedModel is a model in an engine's memory.
type LoadedModel struct {
	Model string
	// Since is when the model was loaded. A leader sets it back for models that it first observes:
	// see observedMinResidency.
	Since time.Time
	// InUse is set while requests for the model are at the engine.
	InUse bool
	// Adapters maps each loaded adapter to its last use, and AdapterInUse is set for those with
	// requests at the engine.
	Adapters     map[string]time.Time
	AdapterInUse map[string]bool
}

// Engine is an engine that takes new work.
type Engine struct {
	ID       string
	Loaded   []LoadedModel
	InMemory map[string]bool
	OnDisk   map[string]bool
	// Busy is set while an order for a model is in progress or its outcome is unknown.
	Busy bool
	// Rejecting is set while the engine rejects the requests of several entries and asks them for a
	// cooldown.
	Rejecting bool
	// Incoming is the model that the order in progress loads or makes room for.
	Incoming string
	// Unloading is the model that the order in progress unloads.
	Unloading string
	// FromStore is set while the load in progress is from the weight store.
	FromStore bool
	// RoomMadeFor is the model that the last order made room for; "": none.
	RoomMadeFor string
	// Limited is set if the engine states a limit, of Limit requests a second.
	Limited bool
	Limit   float64
	// LateLoads are the models and adapters that orders to earlier incarnations of the server
	// may still load. They need room, or the engine crashes.
	LateLoads []ModelRef
}

// ModelRef names an adapter of a model, or the model itself if Adapter is empty.
type ModelRef struct {
	Model   string
	Adapter string
}

// Input is the input of Decide, which does not change it.
type Input struct {
	Now time.Time
	// MemoryMB and AdapterSlots are the memory and the adapter slots of each engine, and Slots
	// the number of requests that it runs concurrently; 0: unknown.
	MemoryMB        float64
	AdapterSlots    int
	Slots           int
	Models          map[string]*Model
	Engines         []*Engine
	WaitingAdapters []ModelRef
	// StoreLoadsAllowed is how many loads from the weight store may begin now.
	StoreLoadsAllowed int
	// StoreConcurrency is how many loads the store is assumed to serve at full speed.
	StoreConcurrency int
	// StoreLoadsRunning is how many loads from the store are in progress.
	StoreLoadsRunning int
}

//go:generate go tool stringer -type=Reason -linecomment

// Reason is the reason of an order.
type Reason int

// The reasons of orders.
const (
	// ReasonWaiting: requests wait for a model that no engine has.
	ReasonWaiting Reason = iota // waiting
	// ReasonBusy: the replicas of a model have too many requests.
	ReasonBusy // busy
	// ReasonPreload: a model has too few copies, or an adapter is preloaded.
	ReasonPreload // stock
)

// Action is an order to send.
type Action struct {
	Reason  Reason
	Engine  string
	Load    bool
	Model   string
	Adapter string
	// RoomFor is the model that an unload makes room for.
	RoomFor string
	// FromStore is set for a load from the weight store.
	FromStore bool
}

// Blocked is a model that needs a replica and can't be loaded now, with the number of engines
// excluded for each reason.
type Blocked struct {
	Model string
	Rate  float64
	// Busy engines have another order in progress, Loaded ones have the model, at Full ones
	// nothing may be unloaded for it, and StoreLimited ones would load it from the weight
	// store, whose rate limit is used up.
	Busy, Loaded, Full, StoreLimited int
}
