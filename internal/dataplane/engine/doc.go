// Package engine runs the balancer: it owns the Balancer, the table of open calls, the attempts, the backends and the
// timers, all on one goroutine. It carries out the balancer's actions and makes no decisions itself. It knows no wire
// protocol: fronts hand it requests as Calls with an opaque payload, and Carriers send them to backends. Its events
// never block, and never parse, dial or write.
//
// Each part has a contract with the others:
//
//   - A Front hands a Call over with HandleCall and gets exactly one Answer for it, before the call's deadline. It may
//     withdraw the call with HandleClientGone.
//   - A Carrier starts an attempt on request and reports its outcome exactly once. It claims the attempt's Permit
//     before the first byte that a backend could act on. Once the engine has revoked that permit, the carrier must
//     not write any more of the attempt.
//   - A Source reports memberships and changes to them. The engine updates its backends in place.
//   - An Observer is notified of all of this, on the engine's goroutine.
//
// Carriers, fronts and sources call the engine only on its goroutine, which they reach with Post (an event loop, as in
// Node.js or Redis). The comment of a method says where it may be called.
package engine
