// Package fakesystem plays what surrounds the system: model backends with heartbeats, an engine with continuous
// batching, KV prefix cache and model loads, as the users' pages describe them (PROTOCOL.md). It is for tests and for
// trying the system out on one machine; no role links it.
//
// A Backend owns its state and goroutines: Serve returns after they have ended. It checks fencing tokens, capacity and
// draining as a real backend does, and records what arrives, so that tests judge afterwards; it never judges itself
// but for orders beyond its memory (Violations).
package fakesystem
