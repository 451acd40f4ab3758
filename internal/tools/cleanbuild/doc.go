// Command cleanbuild checks that the deploy files name every system package that their build needs. For each of them
// it runs the file's own build command on a clean clone, with an empty build cache, with only the environment variables
// of a bare login, as an ordinary user who doesn't own the checkout, and with a PATH that holds the Go tool chain, a
// shell, and the programs of the listed packages and their dependencies, as the package manager lists them. Headers and
// libraries come from those packages only (the compiler gets them as its system root).
//
// The builds then run a second time and must produce the same bytes. Finally a build must fail when any one entry is
// removed from the list, which shows that every entry is needed and that the check detects a missing one.
//
//	go run ./internal/tools/cleanbuild [-root FOLDER]
//
// A minimal Debian machine has the packages marked Essential (dash, coreutils with mkdir, sed, tar, …), but no git, no
// compiler and no certificates. Of the Essential packages the build may use only the shell.
//
// It exits with status 1 if a build or a check fails. On a machine without dpkg-query it prints that it was not run.
package main
