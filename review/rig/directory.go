package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
)

// resolve asks the directory where callers connect, as a caller does, and returns the time in seconds for which
// the answer may be kept. The first entry must be among the addresses.
func (d *deployment) resolve() (float64, error) {
	status, body := call(http.MethodGet, "http://"+d.directoryAddress(1)+"/v1/resolve?Name="+hostname+"&Region=nengland&Zone=hall-a", nil)
	var reply struct {
		Addresses []string
		TTL       float64 `json:"TtlS"`
	}
	if err := json.Unmarshal(body, &reply); status != http.StatusOK || err != nil {
		return 0, fmt.Errorf("resolve: status %d: %w", status, err)
	}
	d.record.add("caller 2: resolved %v for %.0f s", reply.Addresses, reply.TTL)
	if !slices.Contains(reply.Addresses, d.callerAddress(0)) {
		return 0, fmt.Errorf("resolve: the entry is not among %v", reply.Addresses)
	}
	return reply.TTL, nil
}
