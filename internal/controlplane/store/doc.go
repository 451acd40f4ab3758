// Package store keeps the durable state of a chain member (chain.DurableState) in a directory, as records of goleveldb.
// Its one owner is the goroutine of internal/controlplane that runs the member. It decides nothing and keeps nothing in
// memory but goleveldb's caches.
//
// Every write is one atomic batch and is synced before it returns. An error of a write is final for its handle: whether
// the batch reached the disk is not known, so the store has to be closed and opened again.
//
// The keys and the protobuf messages under them (records.go) are read by other versions; testdata/compatibility holds
// stores that earlier ones wrote.
package store
