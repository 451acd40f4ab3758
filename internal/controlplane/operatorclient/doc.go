// Package operatorclient is the operator's side of control's HTTP interface: it reads and changes the configuration,
// evacuates zones, and collects support bundles.
//
// Calls are idempotent (a change names the version that it builds on), so a call is retried, at another control
// process each time, until one gives a definite answer or the client's timeout is over. The package keeps no
// state between calls, follows no redirects, and never decides whether a change is valid: control does.
package operatorclient
