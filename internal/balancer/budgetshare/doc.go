// Package budgetshare divides budgets that hold over all proxies into shares that each proxy enforces on its own, so
// that the sum of the shares never exceeds the budget.
//
// # Membership
//
// Every proxy knows the list of proxies from its watch. While a proxy joins or leaves, the lists differ for a moment,
// and a partitioned proxy keeps an old list. So a larger share is used only after SettleTime without another change, a
// smaller one at once, and a proxy without a fresh list for MembershipTimeout has no share at all. As long as
// MembershipTimeout plus the time that a change takes to reach all proxies is below SettleTime, a new proxy uses its
// share only after all others have reduced theirs.
//
// # Warm-up budget
//
// A backend that is warming up can take a limited number of requests a second from all proxies together. Each proxy
// gets the same whole number of them; the remainder goes, one each, to the proxies that rank first by a hash of backend
// and proxy (rendezvous hashing). If there are more proxies than requests, the rest get none.
//
// # Retry budget
//
// The retry budget is a ratio of the requests plus a constant slack, over a sliding window. Each proxy applies the
// ratio to its own requests and gets an equal share of one half of the slack. A process that starts earns its share of
// the slack over its first window, so a proxy that is killed and restarted does not spend it twice.
//
// The package is pure: no goroutine, no clock, no I/O. Its values belong to one service's advisor
// (internal/dataplane/routing); it never sends or rejects anything.
package budgetshare
