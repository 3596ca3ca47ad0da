// Package control joins the consensus group, the ledger and the network: Group
// is a control member of this host, Client reaches the group's leader from any
// host.
package control
