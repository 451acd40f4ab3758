// Package statefile stores a proxy's learned state in a file. After a crash at any moment, the file holds either the last
// record written or the one before. The package owns the file format and the atomic replacement (write a temporary file,
// sync, rename, sync the directory). Package staleness decides how much of the state still counts. No request waits for
// this package.
package statefile
