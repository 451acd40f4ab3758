// Package handover is what one process of a proxy knows of the one before it and the one
// after it: the listener that they share, which of them are alive, and what part of the
// machine's room each may take meanwhile. It owns the state machine that decides on that
// part, which is pure, and the files by which the processes find each other. The rules
// rest on nothing here: where all of it fails, each process keeps them by itself.
package handover
