// Package sources gives the engine one list of backends, from the platform's list and that of a registry, if one is
// configured. It connects the platform's watch, the registry's client and the rules between sources (package
// membership) on the engine's goroutine. It never chooses between lists itself. Without a registry, the platform's
// lists are passed on unchanged.
package sources
