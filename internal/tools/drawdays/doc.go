// Command drawdays draws days of faults for the users' bench, by a seed, as one TOML file each:
//
//	go run ./internal/tools/drawdays -site SITE.toml -kinds KINDS.txt -seed 1 -count 40 -out FOLDER
//
// KINDS.txt is what the bench prints of the kinds of faults that are in force at the site; a fault that isn't among them
// is not drawn. Each day has one fault of the control side or of connections as its subject, in one of its variants,
// twice, a second one of another kind in the middle of it, and one of the closing faults, which strike right after an
// acknowledged change. The days of one seed go through all subjects and closing faults in turn, so that a count of
// subjects times closing faults plays each with each. The same seed gives the same files.
package main
