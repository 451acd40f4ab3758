// Package quotaclient acquires quota for each request of a proxy from the owner of the tenant's quota. The state that the
// proxy watches names the owner of each shard of tenants. The proxy has no quota of its own: without an owner nothing is
// granted.
//
// A Client is owned by its proxy. It starts no goroutines. For one request it makes at most two calls, one after the other.
package quotaclient

import (
	"context"
	"net"
	"time"

	vm "github.com/VictoriaMetrics/metrics"

	"marlreel/internal/api"
	"marlreel/internal/controlplane/state"
	"marlreel/internal/distribution/watch"
	"marlreel/internal/process/transport"
	"marlreel/internal/quota/shard"
)

const (
	// callTimeout bounds one call: if no owner answers, the request must be refused early enough for its client to retry
	// within the latency target.
	callTimeout = 150 * time.Millisecond
	// maxAttempts bounds the calls to owners for one request.
	maxAttempts = 2
	// unknownRetryAfter is the time after which clients should retry while a shard has no owner.
	unknownRetryAfter = 250 * time.Millisecond
)

// Verdict is the result of Acquire.
type Verdict int

// The verdicts.
const (
	// Granted means that the cost was taken from the quota, or that the tenant has no limit.
	Granted Verdict = iota + 1
	// Exceeded means that the tenant has used up its quota.
	Exceeded
	// Unknown means that no owner has answered.
	Unknown
)

// Decision is the answer of Acquire.
type Decision struct {
	Verdict Verdict
	// RetryAfter is the time after which the client should retry; 0: the cost is above the capacity of the tenant's bucket.
	RetryAfter time.Duration
	// Grant identifies the grant at the owner; nil: it can't be refunded.
	Grant *api.QuotaGrant
	// At is when the call to the owner started.
	At time.Time
}

// Config configures a Client.
type Config struct {
	// Store is the state that the proxy watches.
	Store *watch.Store
	Dial  transport.DialFunc
	// OwnAgent is the address of the agent on the proxy's machine, and OwnAgentLoopback its loopback address, which the
	// client dials instead.
	OwnAgent, OwnAgentLoopback string
	// Metrics is the set to which the client adds its metrics.
	Metrics *vm.Set
}

// Client acquires quota from owners. Its methods are safe for concurrent use.
type Client struct {
	config   Config
	client   *transport.Client
	refunds  *refundQueue
	refusals *refusalCache
	results  results
}

// New returns a client, which adds its metrics to config.Metrics.
func New(config Config) *Client {
	return &Client{
		config: config, client: transport.NewClient(dialWithinCall(config.Dial)), refunds: newRefundQueue(), refusals: newRefusalCache(),
		results: newResults(config.Metrics),
	}
}

// dialWithinCall limits the time to connect to callTimeout, as the end of a call's context does not interrupt a dial that
// the call waits for.
func dialWithinCall(dial transport.DialFunc) transport.DialFunc {
	return func(ctx context.Context, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		return dial(ctx, address)
	}
}

// Acquire takes a cost from a tenant's quota. It returns by the deadline, and after at most maxAttempts times callTimeout.
func (c *Client) Acquire(subscriber string, cost float64, deadline time.Time) Decision {
	decision, asked := c.refusals.find(subscriber, cost, time.Now()), false
	if decision.Verdict == 0 {
		decision, asked = c.askOwners(subscriber, cost, deadline), true
	}
	c.results.count(decision.Verdict, asked)
	return decision
}

// Refund returns the cost of a grant with the next call to the owner of the tenant's shard.
func (c *Client) Refund(decision Decision) {
	if decision.Grant != nil {
		c.refunds.add(decision.Grant, decision.At)
	}
}

// askOwners calls the owner of the tenant's shard. It makes a second call if another owner is known by then, or if the
// connection broke. If a broken call has taken quota, that quota is lost.
func (c *Client) askOwners(subscriber string, cost float64, deadline time.Time) Decision {
	number := shard.Of(subscriber)
	asked, broken := owner{}, false
	request := &api.AcquireQuotaRequest{Subscriber: subscriber, Cost: cost}
	for range maxAttempts {
		next, version := c.owner(number)
		if next.address == "" || next == asked && !broken {
			break
		}
		asked, request.ConfigurationVersion = next, version
		request.Refunds = append(request.Refunds, c.refunds.take(number, time.Now())...)
		var decision Decision
		var answered bool
		if decision, answered, broken = c.ask(asked, request, deadline); answered {
			return decision
		}
	}
	return Decision{Verdict: Unknown, RetryAfter: unknownRetryAfter}
}

// owner is the owner of a shard according to the watched state.
type owner struct {
	address      string
	fencingToken uint64
}

// owner returns the owner of a shard, and the version of the configuration.
func (c *Client) owner(number int) (owner, uint64) {
	var named owner
	var version uint64
	c.config.Store.ReadState(func(m *state.Machine) {
		version = m.Version()
		if lease := m.Lease(shard.LeaseKey(number)); lease != nil {
			named = owner{lease.Address, lease.FencingToken}
		}
	})
	if named.address == c.config.OwnAgent {
		named.address = c.config.OwnAgentLoopback
	}
	return named, version
}

// ask makes one call to an owner. answered reports whether the owner decided in time; the quota of a later grant is lost.
// broken reports that the call failed before its timeout, usually because the connection had been closed.
func (c *Client) ask(asked owner, request *api.AcquireQuotaRequest, deadline time.Time) (decision Decision, answered, broken bool) {
	began := time.Now()
	end := began.Add(callTimeout)
	if deadline.Before(end) {
		end = deadline
	}
	call, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	reply, err := api.NewQuotaOwnerProtobufClient("http://"+asked.address, c.client).AcquireQuota(call, request)
	now := time.Now()
	if err != nil {
		return Decision{}, false, now.Before(end)
	}
	decision, answered = c.decide(request, reply, began, now, end)
	return decision, answered, false
}

// decide processes an owner's reply to a call that started at began and timed out at end. It reports whether the reply
// decides the request. A reply that is read after end may be of any age, as when the process was suspended in between:
// it is ignored, and the quota that it grants is lost.
func (c *Client) decide(request *api.AcquireQuotaRequest, reply *api.AcquireQuotaReply, began, now, end time.Time) (Decision, bool) {
	if now.After(end) {
		return Decision{}, false
	}
	switch reply.Verdict {
	case api.QuotaVerdict_QUOTA_GRANTED:
		return Decision{Verdict: Granted, Grant: reply.Grant, At: began}, true
	case api.QuotaVerdict_QUOTA_EXCEEDED:
		retryAfter := time.Duration(reply.RetryAfterMs) * time.Millisecond
		c.refusals.add(request.Subscriber, request.Cost, now, retryAfter)
		return Decision{Verdict: Exceeded, RetryAfter: retryAfter}, true
	case api.QuotaVerdict_QUOTA_NOT_OWNER, api.QuotaVerdict_QUOTA_SUBSCRIBER_UNKNOWN:
	}
	return Decision{}, false
}
