// Package simnet is a network within one process, for tests: machines with addresses, connections and datagrams between
// them, with delay, jitter, loss, limited bandwidth, partitions in one direction or both, and machines that are killed.
// A Machine implements host.Network, so whole processes run on it unchanged; a connection implements net.Conn.
//
// It goes by the time of the package time, which a test may replace (testing/synctest), and draws from one seed. No
// daemon links it.
package simnet
