// Package budget bounds the memory of a process's buffers. Each buffer whose size depends on what others send is
// acquired here before it is filled, so that no traffic makes the process larger than its limit. The package owns
// the sums and the order of those who wait. It never decides which request goes on: a caller that gets nothing
// forwards what it has, waits, or rejects its request.
//
// It is a weighted semaphore with first-come-first-served waiters within a kind (as golang.org/x/sync/semaphore),
// two kinds that share one limit, and a limit that can change.
package budget
