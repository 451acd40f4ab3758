// Command mutants runs mutation tests: it removes single guards from the code, one at a time, and runs the tests that
// should fail without them. It changes no source file: the compiler reads the changed code through go test -overlay.
//
//	go run ./internal/tools/mutants internal/controlplane/chain/testdata/mutants.toml
//
// -run and -env select other tests than the file does, for example only the randomized histories. It exits with status
// 1 if a mutant survives, and with 2 if one can't be run.
package main
