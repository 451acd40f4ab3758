// Package adminserver is the proxy's admin endpoint: a separate listener on which the platform checks readiness and
// reads metrics. Each connection carries one HTTP/1.1 request and its response. The package owns the listener and
// the connections that it accepts. It never waits for the engine: responses contain values published earlier.
//
// The number of connections is bounded. At the bound, the oldest connection without a complete request is closed to
// admit a new one, so clients that send nothing can't block others (a defence against slow-header attacks).
package adminserver
