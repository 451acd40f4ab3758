package balancer

// What is known of each backend, request and attempt.

import (
	"time"

	"marlreel/internal/balancer/decay"
	"marlreel/internal/balancer/idempotency"
)

// target is what is known of one backend; it outlives changes of the membership and restarts of the backend.
type target struct {
	Backend
	order    uint64 // in this proxy's rendezvous hash
	inSubset bool   // this proxy uses it, and it is healthy

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
	inFlightAges     ages       // of the attempts in flight, those of isolated classes left out
	load             float64    // attempts in flight by weight
	concurrencyLimit float64    // how much load there may be
	lastSent         time.Duration

	// Delays.
	delays  decay.Sum    // sum of delay ratios
	answers decay.Sum    // number of delay ratios
	tail    tailQuantile // of what it takes over what is expected of any backend

	// Slow start.
	warmupStarted  time.Duration // last known or suspected start; 0 is long ago
	warmupTokens   float64       // work that a warming backend may be sent, ms
	warmupTokensAt time.Duration
	warmupRate     float64   // at which the tokens grow, ms a second
	servedWork     decay.Sum // ms
}

// request is a request that is queued or has attempts in flight.
type request struct {
	Request
	class          *Class            // as the settings had it when the request came
	maxAttempts    int               // likewise
	terms          idempotency.Terms // of retries: the strictest since it came
	arrived        time.Duration
	firstArrived   time.Duration // when it came first, if it is a client's retry
	targetAt       time.Duration // the end of its latency target
	waitUntil      time.Duration // how long it may be queued
	attempts       []*attempt
	inFlight       int // attempts
	ended          bool
	streaming      bool
	priorityFactor float64 // less for a retry that came before the time that its client was told
	utility        float64 // of an answer within the latency target
	overQuota      float64 // the part of its tenant's traffic that is beyond its quota
	utilityPerWork float64 // by which the queue is ordered
}

// attempt is one attempt of a request at a backend.
type attempt struct {
	request     *request
	index       int // among the request's attempts
	target      *target
	location    idempotency.Attempt
	sent        time.Duration
	overdueAt   time.Duration // from when it counts against the concurrency limit
	firstByteAt time.Duration // of a generated answer; 0: it has not begun
	expected    float64       // delay at any backend, ms
	predicted   float64       // delay at this backend, ms
	work        float64       // ms
	weight      float64       // in the backend's load
	loadAtSend  float64       // the backend's load with this attempt
	done        bool
	mayRun      bool // it may have run, or may yet
	cancelled   bool
	overdue     bool
	trial       bool // its class is ejected there, and it tells whether that still holds
}
