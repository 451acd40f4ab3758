// Package metrics counts what a proxy does, by observing its engine. It owns the counters and their text, and
// nothing that it counts: it never changes how a request is served. The engine's goroutine writes, any other may
// read at any time, and neither waits for the other.
package metrics
