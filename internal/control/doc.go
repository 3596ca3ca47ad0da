// Package control connects the consensus group, the ledger and the network: Group
// runs this host's member of the control group, Client sends commands and reads
// to the group's leader from any host.
package control
