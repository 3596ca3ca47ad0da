// Package placement decides where replicas are loaded and which are unloaded. Decisions are
// pure functions of their input, time included, so that tests and replays run them without
// processes. The ledger enforces the bounds again: a decision that violates them is refused
// there.
package placement
