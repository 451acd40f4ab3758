// Package platformwatch follows the platform's list of instances over HTTP, by a long-lived watch beside which the
// list may be resynced, and moves from one address to another without a gap. It owns how soon a change is known,
// whatever fails on the way (Timings). It never judges health, and never drops a list because it can't get a newer
// one.
//
// The watch from a generation on, and the resync beside it, are those of Kubernetes' informers; a call beside a slow
// one is a hedged request (Dean and Barroso, "The Tail at Scale", 2013).
package platformwatch
