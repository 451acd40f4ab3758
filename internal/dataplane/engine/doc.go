// Package engine runs the balancer: it owns the Balancer, the table of open calls, the attempts, the backends and the
// timers, all on one goroutine. It carries the balancer's actions out and decides nothing itself, and it knows no wire
// protocol: requests come from fronts as Calls with an opaque payload, and go out through Carriers. It never blocks in
// an event, and never parses, dials or writes.
//
// What each part promises the others:
//
//   - A Front hands a Call over with HandleCall and gets exactly one Answer for it, before the call's deadline. It may
//     withdraw the call with HandleClientGone.
//   - A Carrier is asked to start an attempt, and ends it exactly once with what happened. It claims the attempt's
//     Permit before the first byte that a backend could act on; from the moment at which the engine has revoked that
//     permit, nothing of the attempt may be written.
//   - A Source reports memberships and changes to them. Backends are reconciled in place.
//   - An Observer sees all of it, from the engine's goroutine.
//
// Everything that carriers, fronts and sources do to the engine they do on its goroutine, which they reach with Post
// (an event loop, as in Node.js or Redis). Methods say where they may be called.
package engine
