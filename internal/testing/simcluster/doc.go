// Package simcluster runs whole clusters in one process: control processes, agents and proxies, the same code as the
// daemon's, with fake backends (package fakesystem), an operator and clients. Their stores are in memory. On a simulated
// network (package simnet) under testing/synctest, time is simulated too; on the loopback addresses of a real machine a
// cluster is there to be tried by hand.
//
// A Cluster belongs to who made it, who ends it by Stop; it waits for all of its goroutines. No daemon links this package.
package simcluster
