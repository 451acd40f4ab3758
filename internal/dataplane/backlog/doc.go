// Package backlog adds up the work that backends have been sent and have not begun to answer, over all proxies. Each
// proxy knows its own share; it reports that to the relay of the service in its zone, which passes the reports on to
// the holder of the service's placement lease, and the answers carry back what the peers have sent. Such sums of
// recent reports are a soft state (Clark, 1988): they are replaced by the next report and expire without one.
//
// The owners of the tables are the relays of the agents (internal/agent); proxies read the sums (internal/dataplane/
// routing). The package is pure: it is given the time, and neither sends nor waits for anything.
package backlog
