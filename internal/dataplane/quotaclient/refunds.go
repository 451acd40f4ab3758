package quotaclient

import (
	"sync"
	"time"

	"marlreel/internal/api"
	"marlreel/internal/quota/ledger"
	"marlreel/internal/quota/shard"
)

// maxRefunds bounds the refunds that are queued for the owner of a shard. Further ones are dropped.
const maxRefunds = 64

// refundQueue holds the grants that are to be refunded with the next request to their owner. Each is attached to one
// request only: if the calls for that request fail, the refund is lost. Its methods are safe for concurrent use.
type refundQueue struct {
	mu      sync.Mutex
	waiting [shard.Count][]refund
}

type refund struct {
	grant *api.QuotaGrant
	at    time.Time
}

func newRefundQueue() *refundQueue { return &refundQueue{} }

// add queues a grant for a refund. at is when the grant was requested.
func (q *refundQueue) add(grant *api.QuotaGrant, at time.Time) {
	number := shard.Of(grant.Subscriber)
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting[number]) < maxRefunds {
		q.waiting[number] = append(q.waiting[number], refund{grant, at})
	}
}

// take removes all grants of a shard from the queue and returns those that are not too old to be refunded.
func (q *refundQueue) take(number int, now time.Time) []*api.QuotaGrant {
	q.mu.Lock()
	defer q.mu.Unlock()
	var grants []*api.QuotaGrant
	for _, waiting := range q.waiting[number] {
		if now.Sub(waiting.at) <= ledger.RefundAge {
			grants = append(grants, waiting.grant)
		}
	}
	q.waiting[number] = nil
	return grants
}
