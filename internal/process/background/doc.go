// Package background schedules work that is no request, as writing the learned state: by priority, within a share
// of a core, a bounded number of jobs at once, and none starved. Scheduler owns the order and the budget of CPU
// time (a token bucket) and runs nothing; it is pure: the time and the random numbers are passed in. Runner runs
// what it starts.
//
// What must not wait (an update of the membership, a drain, a request) is no job of this package.
package background
