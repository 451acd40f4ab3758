// Command knownred runs the tests of the module and passes over exactly those that KNOWN-RED.txt names: tests that fail
// for a real fault which is not mended yet.
//
//	go run ./internal/tools/knownred [-file KNOWN-RED.txt] [-check] [-race] PACKAGES
//
// An entry is a block of lines, ended by an empty line:
//
//	test: internal/controlplane.TestName
//	command: go test -run 'TestName$' ./internal/controlplane
//	seed: 4711
//	seen: two holders of one lease
//	issue: #72
//
// or the same fields on one line, with " | " between them. The package before the test's name may be left out: then the
// name stands for that test in every package that has it. The line test is left out where an entry is the find of a
// hunt that no Go test plays yet, and the seed may be "none". Lines that begin with # are comments.
//
// Every entry is printed. An entry that lacks a field, or names a test that isn't there, fails the run; a file that
// isn't there names nothing. With -check no test is run.
package main
