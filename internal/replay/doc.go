// Package replay replays arrivals of requests through the placement decisions alone,
// on simulated time, and measures the cold-start times and the idle time of
// accelerators. It simulates neither a network nor processes nor admission queues: a
// request waits until a replica of its target is loaded.
package replay
