// Package transport carries calls over fasthttp: twirp's between processes of the system, and plain HTTP to backends.
// A Client or Server is owned by the role of the process that made it.
//
// The package makes each call once and never again: whether a call may be attempted anew is for its caller to say. Dial
// and listen are given to it, so that tests run it over simulated networks.
package transport
