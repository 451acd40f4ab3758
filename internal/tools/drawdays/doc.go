// Command drawdays generates random fault schedules ("days") for the users' bench from a seed, one TOML file per day:
//
//	go run ./internal/tools/drawdays -site SITE.toml -kinds KINDS.txt -seed 1 -count 40 -out FOLDER
//
// KINDS.txt is the bench's list of the kinds of faults that are enabled at the site; other kinds are not drawn. Each day
// has one control-plane or connection fault as its subject, in one of its variants and normally twice, a fault of
// another kind that overlaps the first, and one of the closing faults, which strike right after an acknowledged change.
// The days of one seed cycle through all subjects and closing faults, so that as many days as there are pairs of subject
// and closing fault cover every pair. The same seed gives the same files.
package main
