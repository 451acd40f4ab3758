// Package learnedstate has what a proxy's balancer learned, in a form that another process understands: the one that
// takes over at an upgrade, or that starts after this one ended. It owns the form (fields, bounds, checks); package
// codec has its bytes, package statefile the file.
//
// It is pure: it never reads or writes anything, and never decides what a request gets. No obligation to clients rests
// on it: a process that has no learned state, or rejects what it is given, keeps them all.
//
// All times are ages at the moment at which the state was taken, as clocks differ between processes; Never stands for
// what has not happened. Classes, tenants and backends go by their names in the settings and the membership, as
// their numbers differ too.
package learnedstate
