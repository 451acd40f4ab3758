// Package store persists the durable state of a chain member (chain.DurableState) as goleveldb records in a directory.
// A store belongs to one goroutine, the one in internal/controlplane that runs the member. The package makes no
// decisions and keeps nothing in memory except goleveldb's caches.
//
// Every write is one atomic batch and is synced before it returns. After a failed write it is unknown whether the batch
// reached the disk, so the store has to be closed and opened again.
//
// Other versions read the keys and the protobuf messages stored under them (records.go); testdata/compatibility contains
// stores that earlier versions wrote.
package store
