// Package replay runs arrivals through the decision code alone, on simulated
// time, and measures what callers wait and what accelerators idle. It has no
// network, no processes and no queues of its own: a request waits until a
// replica of its target is loaded.
package replay
