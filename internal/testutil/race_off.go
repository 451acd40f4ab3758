//go:build !race

package testutil

// Race tells whether the race detector is in this binary: it holds several times the memory.
const Race = false
