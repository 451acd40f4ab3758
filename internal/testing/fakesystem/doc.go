// Package fakesystem provides fake model backends with heartbeats and an engine with continuous batching, KV prefix
// cache and model loads, as the users' pages describe them (PROTOCOL.md). It is for tests and for trying the system out
// on one machine; no role links it.
//
// A Backend owns its state and goroutines: Serve returns after they have ended. It checks fencing tokens, capacity and
// draining as a real backend does, and records the orders and requests that arrive, for tests to check afterwards. The
// only errors that it detects itself are orders that exceed its memory (Violations).
package fakesystem
