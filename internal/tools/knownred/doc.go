// Command knownred runs the tests of the module and skips exactly those that KNOWN-RED.txt lists: tests that fail
// because of a real fault that is not fixed yet.
//
//	go run ./internal/tools/knownred [-file KNOWN-RED.txt] [-check] [-race] PACKAGES
//
// An entry is a block of lines, terminated by an empty line:
//
//	test: internal/controlplane.TestName
//	command: go test -run 'TestName$' ./internal/controlplane
//	seed: 4711
//	seen: two holders of one lease
//	issue: #72
//
// or the same fields on one line, separated by " | ". Without a package, the test name stands for that test in every
// package that has it. The test field is omitted for a fault that a randomized search found and that no Go test
// reproduces yet. The seed may be "none". Lines that begin with # are comments.
//
// Every entry is printed. An entry that lacks a required field, or names a test that doesn't exist, fails the run; a
// missing file means no entries. With -check no test is run.
package main
