// Package fleet makes a proxy a member of a fleet of proxies that agree on their shared settings. It carries out what
// package agree decides, on one goroutine that owns the consensus member, the peers and the disk; it keeps the clock of
// leases, and answers operators at a Unix socket. What versions of the settings mean to one another is decided by
// package transition, and what becomes of a request by package balancer.
package fleet
