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

// leaseHolder gives access to the leases that this agent holds.
type leaseHolder interface {
	// Lease returns the lease of a key, and whether this agent holds it and it has not expired.
	Lease(key string) (held reconciler.Lease, valid bool)
}

// quotaOwner counts the quotas of the tenant shards whose leases this agent holds. It checks the lease for each request
// at the moment when the request is counted, so that no two owners grant at the same time.
type quotaOwner struct {
	store  *watch.Store
	leases leaseHolder
	began  time.Time

	mu         sync.Mutex
	ledger     *ledger.Ledger
	configured *configuration.Document // the configuration whose limits the ledger uses
	verdicts   map[ledger.Verdict]uint64
}

func newQuotaOwner(rule tokenbucket.Rule, store *watch.Store, leases leaseHolder) *quotaOwner {
	return &quotaOwner{
		store: store, leases: leases, began: time.Now(), ledger: ledger.New(rule), verdicts: map[ledger.Verdict]uint64{},
	}
}

// If the platform sets no window, quotas are enforced as strictly as on sites that set one.
const (
	defaultQuotaWindow = 8 * time.Second
	defaultQuotaExcess = 0.1
)

// quotaRule returns the rule for quotas that the platform's settings specify.
func quotaRule(bounds bootstrap.Bounds) tokenbucket.Rule {
	if bounds.QuotaWindowS <= 0 {
		return tokenbucket.Rule{Window: defaultQuotaWindow, Excess: defaultQuotaExcess}
	}
	return tokenbucket.Rule{Window: bootstrap.Seconds(bounds.QuotaWindowS), Excess: bounds.QuotaExcess, Slack: bounds.QuotaSlack}
}

// AcquireQuota implements api.QuotaOwner. Its callers are proxies, which call the owner of a tenant's shard.
func (a *Agent) AcquireQuota(_ context.Context, request *api.AcquireQuotaRequest) (*api.AcquireQuotaReply, error) {
	return a.quotas.acquire(request), nil
}

// ReadQuotas implements api.QuotaOwner. Operators use it to read the quotas that are counted here.
func (a *Agent) ReadQuotas(_ context.Context, request *api.QuotaStatusRequest) (*api.QuotaStatusReply, error) {
	return &api.QuotaStatusReply{Node: a.settings.NodeName, Quotas: a.quotas.statuses(request.Subscriber)}, nil
}

// acquire applies the refunds of a request and then decides on it.
func (o *quotaOwner) acquire(request *api.AcquireQuotaRequest) *api.AcquireQuotaReply {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Since(o.began)
	o.configure(now)
	for _, refund := range request.Refunds {
		o.ledger.Refund(now, refund.FencingToken, refund.Subscriber, refund.Number)
	}
	lease, valid := o.lease(request.Subscriber)
	answer := ledger.Answer{Verdict: ledger.NotOwner}
	if valid {
		answer = o.ledger.Acquire(now, lease, ledger.Request{
			Subscriber: request.Subscriber, Cost: request.Cost, ConfigurationVersion: request.ConfigurationVersion,
		})
	}
	o.verdicts[answer.Verdict]++
	return quotaReply(request.Subscriber, lease, answer)
}

// lease returns the lease of a tenant's shard, and whether this agent holds it and it has not expired.
func (o *quotaOwner) lease(subscriber string) (lease ledger.Lease, valid bool) {
	held, valid := o.leases.Lease(shard.LeaseKey(shard.Of(subscriber)))
	return ledger.Lease{
		FencingToken: held.FencingToken, Since: held.Since.Sub(o.began), Expiry: held.Expiry.Sub(o.began),
	}, valid
}

// configure applies the limits of the newest configuration to the ledger. The caller must hold mu.
func (o *quotaOwner) configure(now time.Duration) {
	var document *configuration.Document
	o.store.ReadState(func(m *state.Machine) { document = m.Document() })
	if document == nil || document == o.configured {
		return
	}
	o.configured = document
	o.ledger.Configure(now, document.Version, limitsOf(document))
}

// unknownTokens is the token count of a request that does not state one.
const unknownTokens = -1

// limitsOf returns the limits of all tenants of a configuration.
func limitsOf(document *configuration.Document) map[string]tokenbucket.Limit {
	limits := make(map[string]tokenbucket.Limit, len(document.Subscribers))
	for i := range document.Subscribers {
		s := &document.Subscribers[i]
		limits[s.Name] = tokenbucket.Limit{RatePerS: s.RatePerS, BurstSize: s.BurstSize, Unit: s.Unit, RequestCost: s.Cost(unknownTokens)}
	}
	return limits
}

// quotaReply converts an answer of the ledger to its wire format.
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

// statuses returns the state of a tenant's quota or, if subscriber is "", of all quotas that are counted here.
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

// count returns the number of requests that got a verdict.
func (o *quotaOwner) count(verdict ledger.Verdict) float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return float64(o.verdicts[verdict])
}

// owns reports whether this agent holds the lease of a shard.
func (o *quotaOwner) owns(number int) bool {
	_, valid := o.leases.Lease(shard.LeaseKey(number))
	return valid
}
