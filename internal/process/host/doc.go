// Package host provides the environment of a role of the system: settings, network, store and log. Code that takes a
// Host opens no socket or file by itself, so tests can substitute a simulated network and disk.
//
// The process's main function owns the Host. The package keeps no state and never retries; callers do.
package host
