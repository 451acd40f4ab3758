package gateway

import (
	"time"

	"marlreel/internal/api"
	"marlreel/internal/controlplane/configuration"
)

// QuotaVerdict says whether a QuotaGate allows a request.
type QuotaVerdict int

// The verdicts. All but QuotaAllowed promise that the request has not run and never will.
const (
	QuotaAllowed  QuotaVerdict = iota // it may be sent
	QuotaExceeded                     // its tenant is over its quota: 429
	QuotaUnknown                      // this proxy doesn't know what is left of the quota: 503
)

// QuotaDecision is a QuotaGate's decision on a request.
type QuotaDecision struct {
	Verdict QuotaVerdict
	// RetryAfter is how long the client of a refused request should wait before it retries.
	RetryAfter time.Duration
	// Cost is what was taken from the quota, At when.
	Cost float64
	At   time.Time
	// Grant identifies what was taken to the quota's owner; nil: it can't be refunded.
	Grant *api.QuotaGrant
}

// QuotaGate decides whether a tenant may send one more request. Its methods are safe for concurrent use.
type QuotaGate interface {
	// Acquire takes cost from the tenant's quota, or returns why it can't. It returns within a bounded time.
	Acquire(subscriber *configuration.Subscriber, cost float64, deadline time.Time) QuotaDecision
	// Refund gives back the cost of a request that never reached a backend.
	Refund(subscriber *configuration.Subscriber, decision QuotaDecision)
}
