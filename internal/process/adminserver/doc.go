// Package adminserver is the proxy's admin endpoint: a listener of its own at which the platform asks whether the
// process is ready, and for its metrics. A connection carries one HTTP/1.1 request and its response. The package
// owns that listener and the connections that it accepts. It never waits for the engine: what it answers was
// published before.
//
// The number of connections is bounded. When it is reached, the oldest connection without a complete request is
// closed for the new one, so that clients that send nothing can't keep out those that do (the defence against
// slow-header attacks).
package adminserver
