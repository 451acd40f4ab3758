// Package hintedhandoff keeps messages for a receiver that can't be reached, to deliver them once it can: hinted
// handoff, after Dynamo (DeCandia et al., SOSP 2007). It keeps only the newest message of each key, for a bounded time
// and for a bounded number of keys. Hints are lost when the process restarts, so the receiver must also be able to
// learn their content in another, slower way.
//
// The package is pure and sends nothing. A Table belongs to the sender and is used by one goroutine at a time.
package hintedhandoff
