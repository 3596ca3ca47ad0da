// Package order implements the leader's order driver. It collects the entries'
// reports, decides with package placement which models to load and unload,
// reserves accelerator memory through the replicated log, sends the orders to the
// engines and records what their replies prove.
package order
