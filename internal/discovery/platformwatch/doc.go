// Package platformwatch follows the platform's list of instances over HTTP. It keeps up a long-lived watch, may
// resync the full list periodically, and moves from one address to another without a gap. It owns the bound on how
// long a change takes to arrive despite failures (Timings). It never judges health, and never drops a list because it
// can't get a newer one.
//
// Watching from a generation and resyncing periodically follow Kubernetes' informers. A second call while the first
// is slow is a hedged request (Dean and Barroso, "The Tail at Scale", 2013).
package platformwatch
