// Command cleanbuild checks that the deploy files name every system package that their build needs. For each of them
// it runs the file's own build line on a clean clone, with an empty build cache, the variables of a bare login alone,
// as an ordinary user who doesn't own the checkout, and with a PATH that holds the Go tool chain, a shell, and the
// programs that the listed packages and those they depend on bring, as the package manager lists them. Headers and
// libraries are found in those packages alone (the compiler gets them as its system root).
//
// The builds then run once more, to the same bytes; and with each entry of the list taken out a build has to fail, so
// that no entry is idle and the check is known to notice.
//
//	go run ./internal/tools/cleanbuild [-root FOLDER]
//
// A Debian machine without any further package has the packages marked Essential (dash, coreutils with mkdir, sed,
// tar, …), but no git, no compiler and no certificates. The build may use none of them but the shell.
//
// It ends with status 1 where a build or a check fails. On a machine without dpkg-query it says that it was not run.
package main
