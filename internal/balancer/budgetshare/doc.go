// Package budgetshare divides budgets that hold over all proxies into parts that each proxy
// keeps by itself, so that the sum of the parts never exceeds the whole.
//
// # Who shares
//
// Every proxy knows the list of proxies from the feed. Lists differ for a moment while one
// joins or leaves, and a proxy that is cut off keeps an old one. So a part that grows is
// used only after Settle has passed without another change, a part that shrinks at once,
// and a proxy that has had no fresh list for Lapse has no part at all. With Lapse, and the
// time that a change takes to reach everybody, below Settle, a new proxy's part begins when
// all others have given theirs up.
//
// # Cold backends
//
// A backend that is cold bears so many requests a second from all proxies together. That
// number is given out whole: each proxy has the same number, and what is left over goes, one
// each, to those that a hash of backend and proxy puts first. Where there are more proxies
// than requests, the others have none.
//
// # Repeats
//
// The budget of repeated requests is a share of the requests and a slack, over a sliding
// window. Each proxy's share is of its own requests; of the slack it has an equal part of
// one half, which a process that starts earns over its first window: so one that is killed
// and started again does not have its part twice.
//
// The package is pure: no goroutine, no clock, no input or output.
package budgetshare
