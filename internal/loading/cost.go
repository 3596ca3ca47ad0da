package loading

import "time"

// blockedRequests returns the expected number of requests that wait because an engine takes no
// other order while it loads m: models with a copy there that no engine has loaded can't be
// loaded there meanwhile. The victims of the load are among them.
func (p *plan) blockedRequests(e *Engine, m *Model, victims []string) float64 {
	sum, cached := p.copyOnlyRates[e.ID]
	if !cached {
		for name, present := range e.OnDisk {
			if present && p.replicas[name] == 0 {
				sum += p.blockedRate(name)
			}
		}
		p.copyOnlyRates[e.ID] = sum
	}
	if e.OnDisk[m.Name] && p.replicas[m.Name] == 0 {
		sum -= p.blockedRate(m.Name)
	}
	for _, name := range victims {
		if e.OnDisk[name] && p.replicas[name] == 1 {
			sum += p.blockedRate(name)
		}
	}
	return max(sum, 0) * p.loadTime(e, m).Seconds()
}

// blockedRate returns the requests per second that wait where one copy of a model can't be
// loaded. The chance that an engine with another copy is free grows with the number of copies;
// the square of that number is a rule of thumb.
func (p *plan) blockedRate(name string) float64 {
	m := p.in.Models[name]
	if m == nil {
		return 0
	}
	return max(m.Rate, minRate) / float64(max(p.copies[name]*p.copies[name], 1))
}

// minRate is the request rate, in 1/s, that is assumed for a model without requests.
const minRate = 0.02

// blockedRequestCost is the cost of one blocked request, in seconds of load time.
const blockedRequestCost = 4.0

func (p *plan) loadTime(e *Engine, m *Model) time.Duration { return m.loadTime(e.InMemory, e.OnDisk) }

// loadTime returns the time to load the model at an engine with copies of some models.
func (m *Model) loadTime(inMemory, onDisk map[string]bool) time.Duration {
	switch {
	case inMemory[m.Name]:
		return m.MemoryLoadTime
	case onDisk[m.Name]:
		return m.DiskLoadTime
	}
	return m.StoreLoadTime
}
