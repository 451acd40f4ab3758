// Package simnet simulates a network within one process, for tests: machines with addresses, connections and datagrams
// between them, with delay, jitter, loss, limited bandwidth, partitions in one direction or both, and killed machines.
// A Machine implements host.Network, so whole processes run on it unchanged; a connection implements net.Conn.
//
// It uses the clock of package time, which a test may replace (testing/synctest), and one seeded random source. No
// daemon links it.
package simnet
