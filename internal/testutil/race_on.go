//go:build race

package testutil

// Race reports whether this binary is built with the race detector, which uses several times the memory.
const Race = true
