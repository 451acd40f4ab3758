package gateway

import (
	"time"

	"marlreel/internal/api"
	"marlreel/internal/controlplane/configuration"
)

// QuotaVerdict is what a QuotaGate says of a request.
type QuotaVerdict int

// The verdicts. All but the first promise that the request has not run and never will.
const (
	QuotaAllowed  QuotaVerdict = iota // it may be sent
	QuotaExceeded                     // its tenant is over its quota: 429
	QuotaUnknown                      // what is left of the quota isn't known here: 503
)

// QuotaDecision is what became of a request at a QuotaGate.
type QuotaDecision struct {
	Verdict QuotaVerdict
	// RetryAfter is when the client should come again that was refused.
	RetryAfter time.Duration
	// Cost is what was taken from the quota, At when.
	Cost float64
	At   time.Time
	// Grant is what the quota's owner knows it by; nil: it can't be given back.
	Grant *api.QuotaGrant
}

// QuotaGate decides whether a tenant may send one more request. Its methods may be called by any goroutine.
type QuotaGate interface {
	// Acquire takes cost from the tenant's quota, or says why not. It returns within a bounded time.
	Acquire(subscriber *configuration.Subscriber, cost float64, deadline time.Time) QuotaDecision
	// Refund gives back what a request took that never reached a backend.
	Refund(subscriber *configuration.Subscriber, decision QuotaDecision)
}
