// Command mutants checks the tests by mutation: it takes single guards out of the code, one at a time, and runs the
// tests that should notice. It changes no file: the compiler is given the changed text in place of the file's (go
// test -overlay).
//
//	go run ./internal/tools/mutants internal/controlplane/chain/testdata/mutants.toml
//
// With -run and -env it runs other tests than the file names, as drawn histories alone. It ends with status 1 where a
// mutant survives, and with 2 where one can't be run.
package main
