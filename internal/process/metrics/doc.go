// Package metrics counts what a proxy does by observing its engine. It owns the counters and their text format, and never
// affects how a request is served. The engine's goroutine writes the counters; any other goroutine may read them at any
// time, and neither waits for the other.
package metrics
