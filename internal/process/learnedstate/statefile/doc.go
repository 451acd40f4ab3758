// Package statefile keeps a proxy's learned state in a file that a crash at any moment leaves whole: the last one that
// was written, or the one before. It owns the file's form and its atomic replacement (write aside, sync, rename, sync
// the directory), and never judges how much of the state still counts: package staleness does. No request waits for it.
package statefile
