// Package watch distributes what the processes on the path of requests have to know: the replicated state, the
// backends of each service, the nodes, and where the control processes are. It is a watch protocol by long polls over
// a versioned store, after the list-and-watch of Kubernetes and the incremental xDS of Envoy.
//
// A Store keeps the newest known version of each item with the revision at which it last changed. In a control process
// it is filled by that process's replica and by heartbeats, in agents and proxies by RunSubscriber, which polls another
// process's Store. HandleWatch serves a subscriber what changed since the revision that its Cursor names. Topics are
// the parts that can be subscribed to by themselves. So stores form a tree: control, the relay of a topic in each zone
// (package relay), the zone's other agents, and each agent's proxy.
//
// The process that made a Store owns it; a RunSubscriber call owns its Cursor. A subscriber never goes back to an older
// version: items carry sequence numbers, incarnations and call sequences, which are compared, never times of
// two machines. The package never drops a backend because a source can't be reached: it marks what it knows as stale,
// and the data plane goes on by that.
package watch
