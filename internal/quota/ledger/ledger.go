// Package ledger keeps account of the quotas of the tenant shards that an agent owns. The agent owns the ledger and passes
// in its leases. Under a new lease the tenants of a shard start with empty buckets, so nothing needs to be handed over
// from the previous owner of the shard.
//
// The package is pure: time is a parameter, measured on a monotonic clock from any fixed point. It keeps the tenants of
// the configuration in force, and grants for RefundAge, up to maxOutstanding of them for each shard.
package ledger

import (
	"time"

	"marlreel/internal/quota/shard"
	"marlreel/internal/quota/tokenbucket"
)

// Verdict is the result of a request for quota.
type Verdict int

// The verdicts.
const (
	// Granted means that the cost was taken from the quota, or that the tenant has no limit.
	Granted Verdict = iota + 1
	// Exceeded means that the tenant has used up its quota.
	Exceeded
	// NotOwner means that the lease has expired, or that a later one is known.
	NotOwner
	// SubscriberUnknown means that the configuration has no such tenant, or that it has no limit for the tenant and is
	// older than the caller's.
	SubscriberUnknown
)

// Lease is the lease under which an agent owns a shard.
type Lease struct {
	FencingToken uint64
	// Since is a time from which on no other agent has held the lease, and Expiry is when it ends.
	Since, Expiry time.Duration
}

// Request asks for quota for a request of a tenant.
type Request struct {
	Subscriber string
	Cost       float64
	// ConfigurationVersion is the version of the caller's configuration.
	ConfigurationVersion uint64
}

// Answer is the answer to a Request.
type Answer struct {
	Verdict Verdict
	// RetryAfter is the time until the bucket can cover the cost; 0 if it never can. Only set with Exceeded.
	RetryAfter time.Duration
	// Grant is the number by which the grant can be refunded; 0 if it can't be.
	Grant uint64
}

// Ledger keeps account of the quotas of shards. Not safe for concurrent use.
type Ledger struct {
	rule      tokenbucket.Rule
	version   uint64
	limits    map[string]tokenbucket.Limit // of all tenants of the configuration
	tenures   map[int]*tenure              // by shard
	lastGrant uint64
}

// New returns a ledger without tenants.
func New(rule tokenbucket.Rule) *Ledger {
	return &Ledger{rule: rule, limits: map[string]tokenbucket.Limit{}, tenures: map[int]*tenure{}}
}

// Configure applies the limits of a configuration. It retains limits, which the caller must not modify afterwards.
func (l *Ledger) Configure(now time.Duration, version uint64, limits map[string]tokenbucket.Limit) {
	l.version, l.limits = version, limits
	for _, tenure := range l.tenures {
		tenure.removeExcept(limits)
	}
	for name, limit := range limits {
		if tenure := l.tenures[shard.Of(name)]; tenure != nil {
			tenure.configure(now, name, limit, l.rule)
		}
	}
}

// Acquire answers a request for quota under the lease of the tenant's shard.
func (l *Ledger) Acquire(now time.Duration, lease Lease, request Request) Answer {
	tenure := l.tenure(shard.Of(request.Subscriber), lease)
	if now >= lease.Expiry || tenure == nil {
		return Answer{Verdict: NotOwner}
	}
	limit, known := l.limits[request.Subscriber]
	switch {
	case !known, !limit.Limited() && request.ConfigurationVersion > l.version:
		return Answer{Verdict: SubscriberUnknown}
	case !limit.Limited():
		return Answer{Verdict: Granted}
	}
	l.lastGrant++
	return tenure.acquire(now, request, l.lastGrant)
}

// Refund returns the cost of a grant that was made under a fencing token. It ignores grants that are too old, have already
// been refunded or were made by another owner.
func (l *Ledger) Refund(now time.Duration, fencingToken uint64, subscriber string, grant uint64) {
	tenure := l.tenures[shard.Of(subscriber)]
	if tenure != nil && tenure.fencingToken == fencingToken {
		tenure.refund(now, subscriber, grant)
	}
}

// tenure returns the tenure of a shard under a lease and starts one if the lease is new. It returns nil if a later lease
// is known.
func (l *Ledger) tenure(number int, lease Lease) *tenure {
	current := l.tenures[number]
	switch {
	case current != nil && current.fencingToken == lease.FencingToken:
		return current
	case current != nil && current.fencingToken > lease.FencingToken:
		return nil
	}
	current = newTenure(lease)
	l.tenures[number] = current
	for name, limit := range l.limits {
		if shard.Of(name) == number {
			current.configure(lease.Since, name, limit, l.rule)
		}
	}
	return current
}
