// Package backlog sums up, over all proxies, the work that backends have been sent and have not started to answer. Each
// proxy knows its own share and reports it to the relay of the service in its zone, which passes the reports on to the
// holder of the service's placement lease. The replies carry back the work that the other proxies have sent. Such sums
// of recent reports are soft state (Clark, 1988): each is replaced by the next report and expires without one.
//
// The tables are owned by the relays in the agents (internal/agent); proxies read the sums (internal/dataplane/routing).
// The package is pure: time is a parameter, and it neither sends nor waits.
package backlog
