// Package placement decides which replica is loaded where and which is unloaded.
// Everything in it is a pure function of its arguments, time included, so that
// tests and replays drive it without processes. The ledger enforces the bounds
// again; a decision here that breaks them is refused there.
package placement
