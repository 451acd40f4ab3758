// Package budget bounds the memory of a process's buffers. The bytes of each buffer whose size depends on received
// data are acquired here before it is filled, so that no traffic pushes the process over its memory limit. The
// package owns the sums and the queue of waiters. It makes no decision about requests: a caller that acquires
// nothing forwards what it has, waits, or rejects its request.
//
// It is a weighted semaphore like golang.org/x/sync/semaphore, with two kinds of use that share one limit, waiters
// served in order within a kind, and a limit that can change.
package budget
