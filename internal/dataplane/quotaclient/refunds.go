package quotaclient

import (
	"sync"
	"time"

	"marlreel/internal/api"
	"marlreel/internal/quota/ledger"
	"marlreel/internal/quota/shard"
)

// maxRefunds bounds the refunds that wait for a call to the owner of a shard; more of them lapse.
const maxRefunds = 64

// refundQueue holds the grants that are to be returned. Each is sent once: what a call that fails has taken along
// lapses. Its methods may be called by any goroutine.
type refundQueue struct {
	mu      sync.Mutex
	waiting [shard.Count][]refund
}

type refund struct {
	grant *api.QuotaGrant
	at    time.Time
}

func newRefundQueue() *refundQueue { return &refundQueue{} }

// add keeps a grant that was asked for at a moment until the next call to its owner.
func (q *refundQueue) add(grant *api.QuotaGrant, at time.Time) {
	number := shard.Of(grant.Subscriber)
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting[number]) < maxRefunds {
		q.waiting[number] = append(q.waiting[number], refund{grant, at})
	}
}

// take returns the grants of a shard that are not too old to be returned, and forgets all of them.
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
