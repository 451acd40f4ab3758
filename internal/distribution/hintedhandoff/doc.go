// Package hintedhandoff keeps messages for a receiver that can't be reached, to deliver them once it can: hinted
// handoff, after Dynamo (DeCandia et al., SOSP 2007). Of each key the newest message alone is kept, for a bounded time,
// and of a bounded number of keys. A hint is lost when the process restarts: what it carries has to reach the receiver in
// another way too, only later.
//
// The package is pure and sends nothing; a Table is owned by whoever sends, and used by one goroutine at a time.
package hintedhandoff
