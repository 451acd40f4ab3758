// Package sources gives the engine one list of backends out of two: a registry's, where an operator has set one, and
// the platform's. It owns the way between the platform's watch, the registry's client and the rules between sources
// (package membership), on the engine's goroutine. It never judges between lists itself. Without a registry the
// platform's lists pass unchanged.
package sources
