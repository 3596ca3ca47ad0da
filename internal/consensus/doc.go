// Package consensus replicates a log of commands over the members of a group.
//
// Core is the algorithm alone: it has no clock, no network and no disk, so that
// tests drive it through any order of events. Storage keeps a member's promises
// on disk. Member joins both with a clock and a sender of messages and applies
// committed entries to a state machine. Several groups may live in one process.
//
// The algorithm is Raft (Ongaro and Ousterhout, 2014) with pre-vote, a quorum
// check by the leader, reads confirmed by a heartbeat round, learners, changes
// of one member at a time, and leadership transfer.
package consensus
