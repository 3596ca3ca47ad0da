package loading

// discountUnusableEngines does not count the replicas at engines that reject requests, or get more
// than the limits that they state: these requests need a replica elsewhere. Without it a model whose
// only engine states a limit keeps this engine, and most of its requests are refused.
func (p *plan) discountUnusableEngines() {
	var unusable []*Engine
	for _, e := range p.in.Engines {
		if e.Rejecting || e.Limited && p.requestRate(e) > e.Limit {
			unusable = append(unusable, e)
		}
	}
	for _, e := range unusable {
		for _, l := range e.Loaded {
			if l.Model != e.Unloading {
				p.replicas[l.Model]--
			}
		}
	}
}

// requestRate returns the requests a second that an engine gets if those of each of its models are
// spread evenly over the model's replicas.
func (p *plan) requestRate(e *Engine) float64 {
	rate := 0.0
	for _, l := range e.Loaded {
		if m := p.in.Models[l.Model]; m != nil && l.Model != e.Unloading {
			rate += m.Rate / float64(max(p.replicas[l.Model], 1))
		}
	}
	return rate
}
