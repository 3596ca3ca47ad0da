package ledger

import (
	"maps"
	"slices"
	"strconv"

	"fennelyard/internal/schema"
)

// Records holds the records of the replicated state by key, with indexes. Values are never
// modified after Put, so a reader may retain them. Records itself is not safe for
// concurrent use.
type Records struct {
	byKey     map[string]*schema.Record
	customers map[string]*schema.Customer
	models    map[string]*schema.Model
	services  map[string]*schema.Service
	servers   map[string]*schema.Server
	plans     map[uint64]*schema.Plan
	// reservations is keyed by number; byTarget and byServer index the same reservations.
	reservations map[uint64]*schema.Reservation
	byTarget     map[string]map[uint64]*schema.Reservation
	byServer     map[string]map[uint64]*schema.Reservation
	// pinned holds the names of the models with a lower bound above 0.
	pinned map[string]bool
	// byService holds the application servers of a service by name.
	byService map[string]map[string]*schema.Server
	routes    map[string]*schema.Route
	pools     map[string]*schema.Pool
	teams     map[string]*schema.Team
}

// NewRecords returns an empty set of records.
func NewRecords() *Records {
	return &Records{
		byKey:        map[string]*schema.Record{},
		customers:    map[string]*schema.Customer{},
		models:       map[string]*schema.Model{},
		services:     map[string]*schema.Service{},
		servers:      map[string]*schema.Server{},
		plans:        map[uint64]*schema.Plan{},
		reservations: map[uint64]*schema.Reservation{},
		byTarget:     map[string]map[uint64]*schema.Reservation{},
		byServer:     map[string]map[uint64]*schema.Reservation{},
		pinned:       map[string]bool{},
		byService:    map[string]map[string]*schema.Server{},
		routes:       map[string]*schema.Route{},
		pools:        map[string]*schema.Pool{},
		teams:        map[string]*schema.Team{},
	}
}

// CustomerKey returns the key of a customer's record.
func CustomerKey(name string) string { return "customer/" + name }

// ModelKey returns the key of a model's or adapter's record.
func ModelKey(name string) string { return "model/" + name }

// ServiceKey returns the key of a service's record.
func ServiceKey(name string) string { return "service/" + name }

// ReachKey returns the key of the record that lets a customer call a target.
func ReachKey(customer, target string) string { return "reach/" + customer + "/" + target }

// ServerKey returns the key of a backend server's record.
func ServerKey(name string) string { return "server/" + name }

// ReservationKey returns the key of a reservation's record.
func ReservationKey(number uint64) string {
	return "reservation/" + strconv.FormatUint(number, 10)
}

// PlanKey returns the key of a plan's record.
func PlanKey(number uint64) string { return "plan/" + strconv.FormatUint(number, 10) }

// Put stores a record under its key, or removes the record of the key if it is marked as
// deleted.
func (r *Records) Put(rec *schema.Record) {
	if old, ok := r.byKey[rec.GetKey()]; ok {
		r.unindex(old)
		delete(r.byKey, rec.GetKey())
	}
	if rec.GetDeleted() {
		return
	}
	r.byKey[rec.GetKey()] = rec
	r.index(rec)
}

func (r *Records) index(rec *schema.Record) {
	switch v := rec.GetValue().(type) {
	case *schema.Record_Customer:
		r.customers[v.Customer.GetName()] = v.Customer
	case *schema.Record_Model:
		r.models[v.Model.GetName()] = v.Model
		if v.Model.GetMinReplicas() > 0 {
			r.pinned[v.Model.GetName()] = true
		}
	case *schema.Record_Service:
		r.services[v.Service.GetName()] = v.Service
	case *schema.Record_Server:
		r.servers[v.Server.GetName()] = v.Server
		if s := v.Server.GetService(); s != "" {
			addTo(r.byService, s, v.Server.GetName(), v.Server)
		}
	case *schema.Record_Route:
		r.routes[v.Route.GetName()] = v.Route
	case *schema.Record_Pool:
		r.pools[v.Pool.GetName()] = v.Pool
	case *schema.Record_Team:
		r.teams[v.Team.GetName()] = v.Team
	case *schema.Record_Plan:
		r.plans[v.Plan.GetNumber()] = v.Plan
	case *schema.Record_Reservation:
		r.reservations[v.Reservation.GetNumber()] = v.Reservation
		addTo(r.byTarget, v.Reservation.GetTarget(), v.Reservation.GetNumber(), v.Reservation)
		addTo(r.byServer, v.Reservation.GetServer(), v.Reservation.GetNumber(), v.Reservation)
	}
}

func (r *Records) unindex(rec *schema.Record) {
	switch v := rec.GetValue().(type) {
	case *schema.Record_Customer:
		delete(r.customers, v.Customer.GetName())
	case *schema.Record_Model:
		delete(r.models, v.Model.GetName())
		delete(r.pinned, v.Model.GetName())
	case *schema.Record_Service:
		delete(r.services, v.Service.GetName())
	case *schema.Record_Server:
		delete(r.servers, v.Server.GetName())
		removeFrom(r.byService, v.Server.GetService(), v.Server.GetName())
	case *schema.Record_Route:
		delete(r.routes, v.Route.GetName())
	case *schema.Record_Pool:
		delete(r.pools, v.Pool.GetName())
	case *schema.Record_Team:
		delete(r.teams, v.Team.GetName())
	case *schema.Record_Plan:
		delete(r.plans, v.Plan.GetNumber())
	case *schema.Record_Reservation:
		delete(r.reservations, v.Reservation.GetNumber())
		removeFrom(r.byTarget, v.Reservation.GetTarget(), v.Reservation.GetNumber())
		removeFrom(r.byServer, v.Reservation.GetServer(), v.Reservation.GetNumber())
	}
}

func addTo[K, N comparable, V any](index map[K]map[N]V, key K, name N, value V) {
	if index[key] == nil {
		index[key] = map[N]V{}
	}
	index[key][name] = value
}

func removeFrom[K, N comparable, V any](index map[K]map[N]V, key K, name N) {
	delete(index[key], name)
	if len(index[key]) == 0 {
		delete(index, key)
	}
}

// All returns every record, sorted by key.
func (r *Records) All() []*schema.Record {
	out := make([]*schema.Record, 0, len(r.byKey))
	for _, k := range slices.Sorted(maps.Keys(r.byKey)) {
		out = append(out, r.byKey[k])
	}
	return out
}

// Record returns the record under a key, or nil.
func (r *Records) Record(key string) *schema.Record { return r.byKey[key] }

// Len returns the number of records.
func (r *Records) Len() int { return len(r.byKey) }

// Customer returns a customer, or nil.
func (r *Records) Customer(name string) *schema.Customer { return r.customers[name] }

// Model returns a model or adapter, or nil.
func (r *Records) Model(name string) *schema.Model { return r.models[name] }

// Service returns a service, or nil.
func (r *Records) Service(name string) *schema.Service { return r.services[name] }

// Server returns a backend server under its latest incarnation, or nil.
func (r *Records) Server(name string) *schema.Server { return r.servers[name] }

// Plan returns a plan, or nil.
func (r *Records) Plan(number uint64) *schema.Plan { return r.plans[number] }

// Reservation returns a reservation, or nil.
func (r *Records) Reservation(number uint64) *schema.Reservation { return r.reservations[number] }

// Reaches reports whether a customer may call a model, adapter or service.
func (r *Records) Reaches(customer, target string) bool {
	return r.byKey[ReachKey(customer, target)] != nil
}

// Pinned returns the names of the models with a lower bound above 0, sorted.
func (r *Records) Pinned() []string { return slices.Sorted(maps.Keys(r.pinned)) }

// Models returns all models and adapters, sorted by name.
func (r *Records) Models() []*schema.Model { return sortedValues(r.models) }

// Servers returns all backend servers, sorted by name.
func (r *Records) Servers() []*schema.Server { return sortedValues(r.servers) }

// Customers returns all customers, sorted by name.
func (r *Records) Customers() []*schema.Customer { return sortedValues(r.customers) }

// Services returns all services, sorted by name.
func (r *Records) Services() []*schema.Service { return sortedValues(r.services) }

// Plans returns all plans, sorted by number.
func (r *Records) Plans() []*schema.Plan { return sortedValues(r.plans) }

// Reservations returns all reservations, sorted by number.
func (r *Records) Reservations() []*schema.Reservation { return sortedValues(r.reservations) }

// ReservationsForTarget returns the reservations for a target, sorted by number.
func (r *Records) ReservationsForTarget(target string) []*schema.Reservation {
	return sortedValues(r.byTarget[target])
}

// ReservationsOnServer returns the reservations on a server, sorted by number.
func (r *Records) ReservationsOnServer(server string) []*schema.Reservation {
	return sortedValues(r.byServer[server])
}

// ServersOf returns the application servers of a service, sorted by name.
func (r *Records) ServersOf(service string) []*schema.Server {
	return sortedValues(r.byService[service])
}

// UsedMiB returns the memory in MiB that is reserved on one accelerator.
func (r *Records) UsedMiB(server string, accelerator uint32) uint64 {
	var used uint64
	for _, res := range r.byServer[server] {
		if res.GetAccelerator() == accelerator {
			used += res.GetMemoryMib()
		}
	}
	return used
}

func sortedValues[K interface{ ~string | ~uint64 }, V any](m map[K]V) []V {
	out := make([]V, 0, len(m))
	for _, k := range slices.Sorted(maps.Keys(m)) {
		out = append(out, m[k])
	}
	return out
}
