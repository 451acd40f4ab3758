package balancer

// The state of each backend, request and attempt.

import (
	"time"

	"marlreel/internal/balancer/decay"
	"marlreel/internal/balancer/idempotency"
)

// target is the state of one backend; it survives membership changes and restarts of the backend.
type target struct {
	Backend
	order    uint64 // in this proxy's rendezvous hash
	inSubset bool   // it is in this proxy's subset and healthy

	// Health checks and outlier ejection.
	healthy             bool
	checkInFlight       bool
	failedChecks        int // in a row
	passedChecks        int // in a row
	nextCheck           time.Duration
	consecutiveFailures int // attempts without an answer since the last answer
	consecutiveBreaks   int // attempts whose connection broke since the last answer
	lastBreak           time.Duration
	lastOK              time.Duration
	ejectedUntil        time.Duration
	ejectionDuration    time.Duration
	classHealth         []classHealth // by class

	// Load.
	inFlight         []*attempt // the oldest first
	inFlightAges     ages       // of the attempts in flight, except those of isolated classes
	load             float64    // sum of the weights of the attempts in flight
	concurrencyLimit float64    // of the load
	lastSent         time.Duration

	// Delays.
	delays  decay.Sum    // sum of delay ratios
	answers decay.Sum    // number of delay ratios
	tail    tailQuantile // of the delay ratios of good answers

	// Slow start.
	warmupStarted  time.Duration // last known or suspected start; 0 means long ago
	warmupTokens   float64       // work that a warming backend may be sent, ms
	warmupTokensAt time.Duration
	warmupRate     float64   // at which the tokens grow, ms a second
	servedWork     decay.Sum // ms
}

// request is a request that is queued or has attempts in flight.
type request struct {
	Request
	class          *Class            // from the settings in force when the request came
	maxAttempts    int               // likewise
	terms          idempotency.Terms // of retries: the strictest since it came
	arrived        time.Duration
	firstArrived   time.Duration // for a client's retry, when the first request came
	targetAt       time.Duration // the end of its latency target
	waitUntil      time.Duration // how long it may be queued
	attempts       []*attempt
	inFlight       int // attempts
	ended          bool
	streaming      bool
	priorityFactor float64 // lower for a retry that came earlier than its client was told to retry
	utility        float64 // of an answer within the latency target
	overQuota      float64 // fraction of its tenant's traffic that is beyond the quota
	utilityPerWork float64 // the queue's sort key
}

// attempt is one attempt of a request at a backend.
type attempt struct {
	request     *request
	index       int // among the request's attempts
	target      *target
	location    idempotency.Attempt
	sent        time.Duration
	overdueAt   time.Duration // when it starts to count against the concurrency limit
	firstByteAt time.Duration // of a generated answer; 0: it has not begun
	expected    float64       // delay at any backend, ms
	predicted   float64       // delay at this backend, ms
	work        float64       // ms
	weight      float64       // its part of the backend's load
	loadAtSend  float64       // the backend's load with this attempt
	done        bool
	mayRun      bool // it may have run, or may yet
	cancelled   bool
	overdue     bool
	trial       bool // its class is ejected at the backend, and it tests whether the fault persists
}
