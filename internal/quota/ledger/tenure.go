package ledger

import (
	"time"

	"marlreel/internal/quota/tokenbucket"
)

const (
	// RefundAge is the maximum age at which a grant can be refunded. Raising it returns more of the quota of requests that
	// did not run; the bucket's exposure bounds what refunds can add to a window.
	RefundAge = 250 * time.Millisecond
	// maxOutstanding bounds the grants per shard that are kept for a refund. Grants beyond it can't be refunded.
	maxOutstanding = 8192
)

// tenure is the account of a shard under one lease.
type tenure struct {
	fencingToken uint64
	since        time.Duration
	accounts     map[string]*account // by tenant; only those with a limit
	outstanding  map[uint64]grant    // by number
	order        []uint64            // the numbers of grants, oldest first; some may already be refunded
}

// account is the quota of one tenant.
type account struct {
	limit   tokenbucket.Limit
	bucket  *tokenbucket.Bucket
	granted float64
	refused uint64
}

// grant is a grant that can still be refunded.
type grant struct {
	account *account
	name    string
	cost    float64
	at      time.Duration
}

func newTenure(lease Lease) *tenure {
	return &tenure{
		fencingToken: lease.FencingToken, since: lease.Since,
		accounts: map[string]*account{}, outstanding: map[uint64]grant{},
	}
}

// configure applies a tenant's limit. A tenant that is new, or whose unit has changed, starts with an empty bucket.
func (t *tenure) configure(now time.Duration, name string, limit tokenbucket.Limit, rule tokenbucket.Rule) {
	current := t.accounts[name]
	switch {
	case !limit.Limited():
		delete(t.accounts, name)
	case current == nil || current.limit.Unit != limit.Unit:
		t.accounts[name] = &account{limit: limit, bucket: tokenbucket.NewBucket(rule.Parameters(limit), now)}
	case current.limit != limit:
		current.limit = limit
		current.bucket.Configure(now, rule.Parameters(limit))
	}
}

// removeExcept removes the tenants that are not in limits.
func (t *tenure) removeExcept(limits map[string]tokenbucket.Limit) {
	for name := range t.accounts {
		if _, stays := limits[name]; !stays {
			delete(t.accounts, name)
		}
	}
}

// acquire answers a request of a tenant that has a limit. number identifies the grant.
func (t *tenure) acquire(now time.Duration, request Request, number uint64) Answer {
	t.expire(now)
	account := t.accounts[request.Subscriber]
	if account == nil {
		return Answer{Verdict: SubscriberUnknown}
	}
	if !account.bucket.Take(now, request.Cost) {
		account.refused++
		wait, _ := account.bucket.Wait(now, request.Cost)
		return Answer{Verdict: Exceeded, RetryAfter: wait}
	}
	account.granted += request.Cost
	if len(t.order) >= maxOutstanding {
		account.bucket.Lapse(request.Cost)
		return Answer{Verdict: Granted}
	}
	t.outstanding[number] = grant{account, request.Subscriber, request.Cost, now}
	t.order = append(t.order, number)
	return Answer{Verdict: Granted, Grant: number}
}

// refund returns the cost of a grant, at most once. If the tenant's bucket has been replaced since, the refund goes to the
// old one and has no effect.
func (t *tenure) refund(now time.Duration, subscriber string, number uint64) {
	t.expire(now)
	returned, known := t.outstanding[number]
	if !known || returned.name != subscriber {
		return
	}
	delete(t.outstanding, number)
	returned.account.bucket.Return(now, returned.cost)
	returned.account.granted -= returned.cost
}

// expire removes the grants that are too old to be refunded.
func (t *tenure) expire(now time.Duration) {
	expired := 0
	for _, number := range t.order {
		outstanding, known := t.outstanding[number]
		if known && now-outstanding.at <= RefundAge {
			break
		}
		expired++
		if known {
			delete(t.outstanding, number)
			outstanding.account.bucket.Lapse(outstanding.cost)
		}
	}
	t.order = t.order[expired:]
}
