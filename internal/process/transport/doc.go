// Package transport carries calls over fasthttp: twirp calls between processes of the system, and plain HTTP to backends.
// Each Client or Server is owned by the role that creates it.
//
// The package never retries a call; only its caller knows whether a retry is safe. Dial functions and listeners are
// passed in, so that tests can use simulated networks.
package transport
