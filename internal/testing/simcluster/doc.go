// Package simcluster runs whole clusters in one process: control processes, agents and proxies with the daemon's own
// code, fake backends (package fakesystem), an operator and clients. Their stores are in memory. On a simulated network
// (package simnet) under testing/synctest, time is simulated too; on loopback addresses a cluster runs in real time and
// can be tried by hand.
//
// The creator of a Cluster must call Stop, which waits for all of its goroutines. No daemon links this package.
package simcluster
