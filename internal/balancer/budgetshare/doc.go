// Package budgetshare divides budgets that hold over all proxies into shares that each proxy
// keeps by itself, so that the sum of the shares never exceeds the budget.
//
// # Membership
//
// Every proxy knows the list of proxies from its watch. Lists differ for a moment while one
// joins or leaves, and a partitioned proxy keeps an old one. So a share that grows is
// used only after SettleTime has passed without another change, a share that shrinks at once,
// and a proxy that has had no fresh list for MembershipTimeout has no share at all. With MembershipTimeout,
// and the time that a change takes to reach all proxies, below SettleTime, a new proxy's share begins when
// all others have given theirs up.
//
// # Warm-up budget
//
// A backend that is warming up bears so many requests a second from all proxies together. That
// number is divided: each proxy has the same integer, and the remainder goes, one
// each, to those that a hash of backend and proxy puts first (rendezvous hashing). Where there are more proxies
// than requests, the others have none.
//
// # Retry budget
//
// The budget of retries is a ratio of the requests and a slack, over a sliding
// window. Each proxy's part is of its own requests; of the slack it has an equal share of
// one half, which a process that starts earns over its first window: so one that is killed
// and restarted does not have its share twice.
//
// The package is pure: no goroutine, no clock, no I/O. Its values belong to one service's advisor
// (internal/dataplane/routing); it never sends or rejects anything.
package budgetshare
