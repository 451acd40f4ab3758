// Package learnedstate defines the state that a proxy's balancer has learned, in a form that another process can use:
// one that takes over at an upgrade, or one that starts after this one has ended. The package owns the data model
// (fields, bounds, checks); package codec encodes it, and package statefile stores it in a file.
//
// The package is pure: it does no input or output, and makes no decisions about requests. No guarantee to clients
// depends on it: a process without learned state, or one that rejects it, meets all of them.
//
// Times are stored as ages at the moment the state was taken, as clocks differ between processes; Never means that the
// event has not happened. Classes, tenants and backends are identified by their names in the settings and the
// membership, as their numbers differ between processes too.
package learnedstate
