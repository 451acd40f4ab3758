// Package fleet makes a proxy a member of a fleet of proxies that agree on their shared settings. It carries out what
// package agree decides, on one goroutine that owns the consensus member, the peers and the disk; it provides the clock
// for leases, and serves operators at a Unix socket. Package transition decides how versions of the settings combine, and
// package balancer how a request is handled.
package fleet
