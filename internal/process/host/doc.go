// Package host is what a role of the system runs on: its settings, network, store and log. Code that takes a Host
// opens no socket and no file by itself, so that tests put a simulated network and disk in place of the machine's.
//
// The process's main function owns the Host. The package keeps no state, and never retries: callers do.
package host
