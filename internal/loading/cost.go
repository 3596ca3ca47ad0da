package loading

import "time"

// blockedBy is how many requests will wait because an engine takes no other order
// while it loads: models of which it has a copy can't be brought back there
// meanwhile, those that go for the load among them.
func (p *plan) blockedBy(e *Engine, m *Model, victims []string) float64 {
	sum, known := p.copiesOnly[e.ID]
	if !known {
		for name, there := range e.OnDisk {
			if there && p.replicas[name] == 0 {
				sum += p.unserved(name)
			}
		}
		p.copiesOnly[e.ID] = sum
	}
	if e.OnDisk[m.Name] && p.replicas[m.Name] == 0 {
		sum -= p.unserved(m.Name)
	}
	for _, name := range victims {
		if e.OnDisk[name] && p.replicas[name] == 1 {
			sum += p.unserved(name)
		}
	}
	return max(sum, 0) * p.loadTime(e, m).Seconds()
}

// unserved is how many requests a second wait where one copy of a model can't be
// loaded. How likely the engines with the other copies are free grows with their
// number, and with its square by a rule of thumb.
func (p *plan) unserved(name string) float64 {
	m := p.in.Models[name]
	if m == nil {
		return 0
	}
	return max(m.Rate, leastRate) / float64(max(p.copies[name]*p.copies[name], 1))
}

// leastRate is the rate that a model counts with that nobody has asked for.
const leastRate = 0.02

// blockedWeight is how many seconds of load time one request that will wait
// counts for.
const blockedWeight = 4.0

func (p *plan) loadTime(e *Engine, m *Model) time.Duration { return m.loadTime(e.InMemory, e.OnDisk) }

// loadTime is how long an engine takes to load a model that has copies of some.
func (m *Model) loadTime(inMemory, onDisk map[string]bool) time.Duration {
	switch {
	case inMemory[m.Name]:
		return m.MemoryLoadTime
	case onDisk[m.Name]:
		return m.DiskLoadTime
	}
	return m.StoreLoadTime
}
