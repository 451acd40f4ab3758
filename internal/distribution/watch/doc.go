// Package watch distributes the data that the processes on the request path need: the replicated state, the backends of
// each service, the nodes, and the addresses of the control processes. It is a long-poll watch protocol over a
// versioned store, modeled on the list-and-watch of Kubernetes and the incremental xDS of Envoy.
//
// A Store keeps the newest known version of each item and the revision at which it last changed. In a control process it
// is filled by that process's replica and by heartbeats; in agents and proxies by RunSubscriber, which polls another
// process's Store. HandleWatch sends a subscriber the changes since the revision of its Cursor. Topics are the parts that
// can be subscribed to separately. So stores form a tree: control, the relay of a topic in each zone (package relay), the
// zone's other agents, and each agent's proxy.
//
// The process that made a Store owns it; a RunSubscriber call owns its Cursor. A subscriber never goes back to an older
// version: it compares the sequence numbers, incarnations and call sequences of items, and never the clocks of two
// machines. The package never drops a backend because a source can't be reached: it marks its data as stale, and the
// data plane goes on using it.
package watch
