// Package order is the leader's hand: it collects the entries' reports, asks
// placement what to do, reserves through the log, gives the orders to engines
// and records what they prove.
package order
