// Package background schedules maintenance work outside the request path, such as saving the learned state. Jobs run
// by priority, within a share of a core and a concurrency limit, and none starves. Scheduler owns the order and the
// CPU budget (a token bucket); it runs nothing and is pure: the time and the random numbers are passed in. Runner
// runs the jobs that Scheduler starts.
//
// Work that must not wait (membership updates, drains, requests) doesn't belong in this package.
package background
