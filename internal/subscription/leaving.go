package subscription

// addLeavingServers adds servers that state that they leave to the next report to the leader; mu is
// held. The first report of a server is sent at once.
func (r *Registry) addLeavingServers(keys []string) {
	for _, key := range keys {
		if !r.leavingServers[key] {
			r.leavingServers[key] = true
			r.RequestReport()
		}
	}
}

// takeLeavingServers returns the servers that were reported as leaving since the last report to the
// leader; mu is held.
func (r *Registry) takeLeavingServers() []string {
	var out []string
	for key := range r.leavingServers {
		out = append(out, key)
	}
	clear(r.leavingServers)
	return out
}
