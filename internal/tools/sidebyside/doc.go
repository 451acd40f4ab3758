// Command sidebyside tests that a landed commit of this repository and the current checkout interoperate as processes:
//
//	go run ./internal/tools/sidebyside [-commit REV] [-tests PATTERN] [-times N]
//
// It builds the test program of cmd/marlreeld from that commit, in a temporary work tree, and from the checkout, and runs
// the checkout's process tests with both. The roles, stored data and messages of a process are those of its version. In
// the fault test each start uses the other version than the start before; in the rolling upgrade the processes are
// replaced one after the other, rolled back, and replaced again. Each test runs once with either version first.
//
// It exits with status 1 if a test fails.
package main
