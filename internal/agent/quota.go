package agent

import (
	"context"
	"sync"
	"time"

	"marlreel/internal/api"
	"marlreel/internal/controlplane/configuration"
	"marlreel/internal/controlplane/state"
	"marlreel/internal/distribution/watch"
	"marlreel/internal/placement/reconciler"
	"marlreel/internal/process/bootstrap"
	"marlreel/internal/quota/ledger"
	"marlreel/internal/quota/shard"
	"marlreel/internal/quota/tokenbucket"
)

// leaseHolder says which leases this agent holds.
type leaseHolder interface {
	// Lease returns the lease of a key, if it runs at this moment.
	Lease(key string) (held reconciler.Lease, runs bool)
}

// quotaOwner counts the quotas of the shards of tenants whose leases this agent holds. Whether it does is looked at for
// each request, at the moment at which the request counts: so no two owners grant at the same time.
type quotaOwner struct {
	store  *watch.Store
	leases leaseHolder
	began  time.Time

	mu         sync.Mutex
	ledger     *ledger.Ledger
	configured *configuration.Document // the one whose limits the ledger has
	verdicts   map[ledger.Verdict]uint64
}

func newQuotaOwner(rule tokenbucket.Rule, store *watch.Store, leases leaseHolder) *quotaOwner {
	return &quotaOwner{
		store: store, leases: leases, began: time.Now(), ledger: ledger.New(rule), verdicts: map[ledger.Verdict]uint64{},
	}
}

// Where the platform names no window, tenants are held to their limits as closely as on the sites that do.
const (
	defaultQuotaWindow = 8 * time.Second
	defaultQuotaExcess = 0.1
)

// quotaRule is the users' rule on quotas.
func quotaRule(bounds bootstrap.Bounds) tokenbucket.Rule {
	if bounds.QuotaWindowS <= 0 {
		return tokenbucket.Rule{Window: defaultQuotaWindow, Excess: defaultQuotaExcess}
	}
	return tokenbucket.Rule{Window: bootstrap.Seconds(bounds.QuotaWindowS), Excess: bounds.QuotaExcess, Slack: bounds.QuotaSlack}
}

// AcquireQuota implements api.QuotaOwner: proxies ask the owner of a tenant's shard.
func (a *Agent) AcquireQuota(_ context.Context, request *api.AcquireQuotaRequest) (*api.AcquireQuotaReply, error) {
	return a.quotas.acquire(request), nil
}

// ReadQuotas implements api.QuotaOwner: the operator looks at the quotas that are counted here.
func (a *Agent) ReadQuotas(_ context.Context, request *api.QuotaStatusRequest) (*api.QuotaStatusReply, error) {
	return &api.QuotaStatusReply{Node: a.settings.NodeName, Quotas: a.quotas.statuses(request.Subscriber)}, nil
}

// acquire takes back what the request returns, and answers it.
func (o *quotaOwner) acquire(request *api.AcquireQuotaRequest) *api.AcquireQuotaReply {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Since(o.began)
	o.configure(now)
	for _, refund := range request.Refunds {
		o.ledger.Refund(now, refund.FencingToken, refund.Subscriber, refund.Number)
	}
	lease, runs := o.lease(request.Subscriber)
	answer := ledger.Answer{Verdict: ledger.NotOwner}
	if runs {
		answer = o.ledger.Acquire(now, lease, ledger.Request{
			Subscriber: request.Subscriber, Cost: request.Cost, ConfigurationVersion: request.ConfigurationVersion,
		})
	}
	o.verdicts[answer.Verdict]++
	return quotaReply(request.Subscriber, lease, answer)
}

// lease returns the lease of a tenant's shard, if this agent holds it.
func (o *quotaOwner) lease(subscriber string) (lease ledger.Lease, runs bool) {
	held, runs := o.leases.Lease(shard.LeaseKey(shard.Of(subscriber)))
	return ledger.Lease{
		FencingToken: held.FencingToken, Since: held.Since.Sub(o.began), Expiry: held.Expiry.Sub(o.began),
	}, runs
}

// configure puts the limits of the newest configuration in force. Called with the lock.
func (o *quotaOwner) configure(now time.Duration) {
	var document *configuration.Document
	o.store.ReadState(func(m *state.Machine) { document = m.Document() })
	if document == nil || document == o.configured {
		return
	}
	o.configured = document
	o.ledger.Configure(now, document.Version, limitsOf(document))
}

// unsaid stands for the tokens of a request that doesn't say them.
const unsaid = -1

// limitsOf returns the limits of all tenants of a configuration.
func limitsOf(document *configuration.Document) map[string]tokenbucket.Limit {
	limits := make(map[string]tokenbucket.Limit, len(document.Subscribers))
	for i := range document.Subscribers {
		s := &document.Subscribers[i]
		limits[s.Name] = tokenbucket.Limit{RatePerS: s.RatePerS, BurstSize: s.BurstSize, Unit: s.Unit, RequestCost: s.Cost(unsaid)}
	}
	return limits
}

// quotaReply is an answer of the ledger as it is sent.
func quotaReply(subscriber string, lease ledger.Lease, answer ledger.Answer) *api.AcquireQuotaReply {
	switch answer.Verdict {
	case ledger.Granted:
		reply := &api.AcquireQuotaReply{Verdict: api.QuotaVerdict_QUOTA_GRANTED}
		if answer.Grant != 0 {
			reply.Grant = &api.QuotaGrant{Subscriber: subscriber, FencingToken: lease.FencingToken, Number: answer.Grant}
		}
		return reply
	case ledger.Exceeded:
		return &api.AcquireQuotaReply{Verdict: api.QuotaVerdict_QUOTA_EXCEEDED, RetryAfterMs: roundUpMilliseconds(answer.RetryAfter)}
	case ledger.SubscriberUnknown:
		return &api.AcquireQuotaReply{Verdict: api.QuotaVerdict_QUOTA_SUBSCRIBER_UNKNOWN}
	case ledger.NotOwner:
	}
	return &api.AcquireQuotaReply{Verdict: api.QuotaVerdict_QUOTA_NOT_OWNER}
}

func roundUpMilliseconds(d time.Duration) uint32 {
	return uint32((d + time.Millisecond - 1) / time.Millisecond)
}

// statuses returns the state of a tenant's quota, or of all that are counted here where none is named.
func (o *quotaOwner) statuses(subscriber string) []*api.QuotaStatus {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Since(o.began)
	o.configure(now)
	var statuses []*api.QuotaStatus
	for _, s := range o.ledger.Statuses(now, o.owns) {
		if subscriber != "" && s.Subscriber != subscriber {
			continue
		}
		statuses = append(statuses, &api.QuotaStatus{
			Subscriber: s.Subscriber, Shard: uint32(s.Shard), RatePerS: s.Limit.RatePerS, BurstSize: s.Limit.BurstSize,
			Level: s.Level, Capacity: s.Capacity, Granted: s.Granted, Refused: s.Refused, OwnedMs: uint64(s.Owned.Milliseconds()),
		})
	}
	return statuses
}

// count returns how many requests had a verdict.
func (o *quotaOwner) count(verdict ledger.Verdict) float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return float64(o.verdicts[verdict])
}

// owns reports whether this agent holds the lease of a shard.
func (o *quotaOwner) owns(number int) bool {
	_, runs := o.leases.Lease(shard.LeaseKey(number))
	return runs
}
