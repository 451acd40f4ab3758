// Package ledger counts the quotas of the shards of tenants that an agent owns. Its one owner is the agent, which looks at
// its leases and passes them in: under a new lease the tenants of a shard start with empty buckets, so what the owner
// before has granted needs no handing over.
//
// The package is pure: time is a parameter, measured on a monotonic clock since any fixed point. It holds the tenants
// of the configuration in force, and grants for RefundAge, of maxOutstanding each shard.
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
	// Granted: the cost is taken.
	Granted Verdict = iota + 1
	// Exceeded: the tenant has spent its quota.
	Exceeded
	// NotOwner: the lease doesn't run, or a later one is known.
	NotOwner
	// SubscriberUnknown: the configuration has no such tenant, or is older than the caller's.
	SubscriberUnknown
)

// Lease is the lease under which an agent counts a shard.
type Lease struct {
	FencingToken uint64
	// Since is a moment since which nobody else has held it, and Expiry when it ends.
	Since, Expiry time.Duration
}

// Request asks for quota for a request of a tenant.
type Request struct {
	Subscriber string
	Cost       float64
	// ConfigurationVersion is the one by which the caller knows the tenant.
	ConfigurationVersion uint64
}

// Answer is the answer to a Request.
type Answer struct {
	Verdict Verdict
	// RetryAfter is when the bucket will hold the cost; 0 where it never does. Of Exceeded alone.
	RetryAfter time.Duration
	// Grant is the number by which the grant can be returned; 0: it can't.
	Grant uint64
}

// Ledger counts the quotas of shards. Not safe for concurrent use.
type Ledger struct {
	rule      tokenbucket.Rule
	version   uint64
	limits    map[string]tokenbucket.Limit // of all tenants of the configuration
	tenures   map[int]*tenure              // by shard
	lastGrant uint64
}

// New returns a ledger that knows of no tenant.
func New(rule tokenbucket.Rule) *Ledger {
	return &Ledger{rule: rule, limits: map[string]tokenbucket.Limit{}, tenures: map[int]*tenure{}}
}

// Configure puts the limits of a configuration in force. It keeps limits, which must not be changed any more.
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

// Refund returns a grant that was made under a fencing token. Grants that are too old, were returned before or were made
// by another owner are passed over.
func (l *Ledger) Refund(now time.Duration, fencingToken uint64, subscriber string, grant uint64) {
	tenure := l.tenures[shard.Of(subscriber)]
	if tenure != nil && tenure.fencingToken == fencingToken {
		tenure.refund(now, subscriber, grant)
	}
}

// tenure returns what is counted of a shard under a lease, and begins it where the lease is new; nil: a later lease is
// known.
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
