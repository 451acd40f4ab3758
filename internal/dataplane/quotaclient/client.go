// Package quotaclient asks the owners of tenants' quotas for each request of a proxy. The state that the proxy watches
// names the owner of each shard of tenants. The proxy keeps no quota of its own: without an owner nothing is granted.
//
// A Client is owned by its proxy. It starts no goroutine, and makes one call at a time for a request, and two at most.
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
	// callTimeout bounds one call: a request that is refused without an owner has to be refused soon enough for its
	// client to try again within its latency target.
	callTimeout = 150 * time.Millisecond
	// maxAttempts counts the owners that are asked for one request.
	maxAttempts = 2
	// unknownRetryAfter is when clients should come again while a shard has no owner.
	unknownRetryAfter = 250 * time.Millisecond
)

// Verdict is the result of Acquire.
type Verdict int

// The verdicts.
const (
	// Granted: the cost was taken.
	Granted Verdict = iota + 1
	// Exceeded: the tenant has spent its quota.
	Exceeded
	// Unknown: no owner has answered.
	Unknown
)

// Decision is the answer to Acquire.
type Decision struct {
	Verdict Verdict
	// RetryAfter is when the client should come again; 0: its request costs more than the tenant can ever save up.
	RetryAfter time.Duration
	// Grant is what the owner knows the grant by; nil: it can't be returned.
	Grant *api.QuotaGrant
	// At is when the owner was asked.
	At time.Time
}

// Config is what a client works with.
type Config struct {
	// Store is the state that the proxy watches.
	Store *watch.Store
	Dial  transport.DialFunc
	// OwnAgent is the address of the agent on the proxy's machine, and OwnAgentLoopback the one to call it by.
	OwnAgent, OwnAgentLoopback string
	// Metrics is where the client's metrics are added.
	Metrics *vm.Set
}

// Client asks owners for quota. Its methods may be called by any goroutine.
type Client struct {
	config   Config
	client   *transport.Client
	refunds  *refundQueue
	refusals *refusalCache
	results  results
}

// New returns a client.
func New(config Config) *Client {
	return &Client{
		config: config, client: transport.NewClient(dialWithinCall(config.Dial)), refunds: newRefundQueue(), refusals: newRefusalCache(),
		results: newResults(config.Metrics),
	}
}

// dialWithinCall bounds the making of a connection by callTimeout: the call that waits for it isn't cancelled before.
func dialWithinCall(dial transport.DialFunc) transport.DialFunc {
	return func(ctx context.Context, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		return dial(ctx, address)
	}
}

// Acquire takes a cost from a tenant's quota. It returns within the timeouts of maxAttempts calls, and by the deadline.
func (c *Client) Acquire(subscriber string, cost float64, deadline time.Time) Decision {
	decision, asked := c.refusals.find(subscriber, cost, time.Now()), false
	if decision.Verdict == 0 {
		decision, asked = c.askOwners(subscriber, cost, deadline), true
	}
	c.results.count(decision.Verdict, asked)
	return decision
}

// Refund returns a grant with the next call to the owner of the tenant's shard.
func (c *Client) Refund(decision Decision) {
	if decision.Grant != nil {
		c.refunds.add(decision.Grant, decision.At)
	}
}

// askOwners asks the owner of the tenant's shard, and once more where another one is known by then, or where the connection
// broke: what a first call has taken is spent in vain then.
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

// owner is who owns a shard by the state that is watched.
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

// ask makes one call. It reports whether the owner has answered in time; a grant that comes later is spent in vain. A call
// that failed before its time was up is broken: its connection had ended, mostly.
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

// decide takes in an owner's reply to a call that began at a time, and had an end. It reports whether that decides the
// request. A reply that is found after the end, by a process that was stopped meanwhile, may be of any age: what it
// grants is spent in vain.
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
