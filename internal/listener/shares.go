package listener

import (
	"fmt"

	"fennelyard/internal/memory"
)

// Share is the part of the descriptors and of the memory of a process that the connections of a port may take.
type Share struct {
	Descriptors, Memory float64
}

// What the ports of a process leave is for the connections and files that it opens itself: to serve a request of a caller,
// for one to a backend server; to carry a tunnel, for a second one; to each other host, and for its disk.
var (
	// EntryShares are those of an entry.
	EntryShares = map[Port]Share{
		PortCallers:   {Descriptors: 1.0 / 3, Memory: 1.0 / 4},
		PortHosts:     {Descriptors: 1.0 / 8, Memory: 1.0 / 16},
		PortDirectory: {Descriptors: 1.0 / 16, Memory: 1.0 / 32},
		PortReadiness: {Descriptors: 1.0 / 64, Memory: 1.0 / 64},
		PortMetrics:   {Descriptors: 1.0 / 64, Memory: 1.0 / 64},
	}
	// ControlShares are those of a control host. All entries and control hosts may connect to a leader.
	ControlShares = map[Port]Share{
		PortHosts:     {Descriptors: 1.0 / 3, Memory: 1.0 / 4},
		PortOperators: {Descriptors: 1.0 / 4, Memory: 1.0 / 8},
		PortMetrics:   {Descriptors: 1.0 / 64, Memory: 1.0 / 64},
	}
	// ListedShares are those of a listed host.
	ListedShares = map[Port]Share{
		PortCallers:   {Descriptors: 1.0 / 4, Memory: 1.0 / 4},
		PortHosts:     {Descriptors: 1.0 / 8, Memory: 1.0 / 8},
		PortBackends:  {Descriptors: 1.0 / 8, Memory: 1.0 / 16},
		PortOperators: {Descriptors: 1.0 / 16, Memory: 1.0 / 16},
		PortMetrics:   {Descriptors: 1.0 / 64, Memory: 1.0 / 64},
	}
)

// Description describes the other limits of ports, for the settings page.
func Description() string {
	return fmt.Sprintf("\nA connection counts as %d bytes, one for calls between hosts as %d. Heads of requests, from their first byte until the request ends, "+
		"take 1/%d of the memory together, at least %d MiB, and %d MiB where the memory is not known: %d bytes for each byte of a head and %d for each line. "+
		"Messages of calls that have not arrived in full take 1/%d, at least %d MiB, or %d MiB. Each connection has %d bytes beside these. If there is no more, the connection that has held a part for the longest time is closed; a request that still finds none gets 503 with Retry-After. "+
		"The head of a caller's request may be as long as the configuration says, and %d bytes more, all others %d bytes. A head must arrive within %v, and within %v on listed hosts; "+
		"calls other than those of callers must be read and answered within %v.\n",
		httpConnectionBytes, callConnectionBytes, headsDivisor, minHeadBytes>>20, defaultHeadBytes>>20, headByteCost, headFieldCost,
		messagesDivisor, minMessageBytes>>20, defaultMessageBytes>>20, memory.FreeBytes,
		headSlackBytes, maxHeadBytes, headTimeout, ListedHeadTimeout, callTimeout)
}
