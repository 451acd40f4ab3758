// Package operatorclient is the operator's client of control's HTTP interface: it reads and changes the configuration,
// evacuates zones, and collects support bundles.
//
// Calls are idempotent (a change names the version that it builds on), so a failed call is retried, at the next control
// process each time, until one gives a definite response or the client's timeout expires. The package keeps no state
// between calls, follows no redirects, and leaves validating changes to control.
package operatorclient
