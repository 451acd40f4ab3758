// Command sidebyside plays a landed commit of this repository and the checkout at hand side by side, as whole programs:
//
//	go run ./internal/tools/sidebyside [-commit REV] [-tests PATTERN] [-times N]
//
// It builds the test program of cmd/marlreeld of that commit, in a work tree of its own, and of the checkout, and runs the
// checkout's stories of processes with both (their roles, disks and messages are each version's own): in the story of faults
// every start takes the other version than the start before, in the rolling upgrade one process after the other is
// replaced, back, and replaced again. Each runs with either version as the first.
//
// It ends with status 1 where a story fails.
package main
