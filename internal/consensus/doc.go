// Package consensus replicates a log of commands over the members of a group.
//
// Core is the algorithm alone: it has no clock, no network and no disk, so that
// tests can drive it through any order of events. Storage persists a member's
// term, vote, log and snapshot. Member combines both with a clock and a transport
// and applies committed entries to a state machine. One process can run members
// of several groups.
//
// The algorithm is Raft (Ongaro and Ousterhout, 2014) with pre-vote, a quorum
// check by the leader, reads confirmed by a heartbeat round, learners, changes
// of one member at a time, and leadership transfer.
package consensus
