// Package balancer makes the decisions of an HTTP load balancer that runs as several proxies: which backend gets
// a request, and whether it is queued, retried, hedged, rejected or failed. This file is its whole interface; the
// decisions are in balancer.go and the files that it names.
//
// A Balancer decides for one proxy and belongs to that proxy's event loop (internal/dataplane/engine, or a test). The
// event loop calls one method for each event, and the Balancer acts by calling its Host. It does no network I/O
// itself, and it is discovery that decides which backends exist. The contract:
//
//   - One goroutine at a time. A Balancer starts no goroutine and takes no lock.
//   - No I/O, no wall clock and no global state. Each event carries now, the time on a monotonic
//     clock with any origin. Equal seeds and events give equal actions.
//   - Host methods are called from within the event methods. They must not call the Balancer back; their
//     results arrive as later events.
//   - Identifiers are opaque. Backends keep theirs across restarts; request identifiers are never reused.
//
// It uses established mechanisms: two random choices (Mitzenmacher, 2001), rendezvous hashing for subsets (Thaler
// and Ravishankar, 1998), additive increase and multiplicative decrease of concurrency limits (Chiu and Jain,
// 1989), outlier ejection and slow start as Envoy has them, retry budgets (Google, "Site Reliability
// Engineering", 2016). The sub-packages name the sources of their models.
package balancer

import "time"

var _ Advice = NoAdvice{}

// BackendID identifies a backend, with the same value at every proxy.
type BackendID uint32

// RequestID identifies one request of a client. A client's retry is a new request with a new identifier.
type RequestID uint32

// AllPeers addresses Host.SendToPeer to every peer.
const AllPeers = ^uint32(0)

// Effect says whether a request of a class is idempotent.
type Effect uint8

// The effects. Unsafe is the zero value because it is the most cautious one.
const (
	Unsafe Effect = iota // not idempotent: must never run twice
	Keyed                // retries are deduplicated within a group and a window
	Safe                 // idempotent: may be retried freely
)

// Group says which backends deduplicate the retries of a keyed request.
type Group uint8

// The groups. GroupCell is the zero value because it is the narrowest one.
const (
	GroupCell Group = iota // the backends of one cell
	GroupZone              // the backends of one zone
	GroupAll               // all backends
)

// Class is a class of requests with the same latency target, retry rules and value.
type Class struct {
	Name                 string
	LatencyTarget        time.Duration // above 0; an answer within it earns the full value
	LatencyTargetStretch float64       // 0 or more; this multiple of the request's Cost is added to the target
	ClientTimeout        time.Duration // above 0; how long a client waits, over all attempts of its request
	Effect               Effect
	Group                Group // for Keyed
	// For Keyed: how long retries are deduplicated, counted from the first attempt that may have run.
	IdempotencyWindow time.Duration
	LateValueRatio    float64 // 0 to 1: fraction of Value that a late answer earns
	Stream            bool    // the answer is streamed, and FirstByte reports its start
	Value             float64 // 0 or more: what an answer in time earns
	NeverRerun        bool    // a request that may have run is not sent again, whatever its Effect
	// The answer is generated while it is streamed: its delay is measured up to FirstByte, and it stays in flight
	// until its end.
	Generates bool
	// Limit on the attempts that may have run; 0: Caps.MaxAttempts alone limits the attempts, whether they ran or not.
	MaxRuns int
}

// Tenant is a customer with a quota of the service.
type Tenant struct {
	Name         string
	TrafficShare float64 // 0 to 1: fraction of the traffic, for the worst-served tenant's part of the goal
	QuotaPerS    float64 // requests a second within its quota, over all proxies; 0 means no limit
}

// Goal has the weights of the parts of the objective: the value earned in total, by the worst-served class, by the
// worst-served tenant and in the worst time window. The weights are 0 or more.
type Goal struct{ Total, WorstClass, WorstTenant, WorstWindow float64 }

// Prices are deducted from the objective, each multiplied by its rate: of new connections, attempts in other zones,
// discovery calls, handshakes, failures that come late, messages to peers, health checks and wasted work.
type Prices struct {
	Connection, CrossZone, Discovery, Handshake, LateFailure, PeerMessage, HealthCheck, Waste float64
}

// Obligations are the bounds of four rules: each request gets exactly one final answer, an unsafe request never runs
// twice, a draining backend gets no new request, and a warming backend is not overloaded. None may be negative.
type Obligations struct {
	AnswerSlack      time.Duration // how late after the deadline a final answer still counts
	MaxMembershipAge time.Duration // how old the membership may get where it has to be polled
	WarmupDuration   time.Duration // from a backend's start until it has its full capacity
	DrainGrace       time.Duration // within which a draining backend must stop getting new requests
	OverloadWindow   time.Duration // over which the work sent to a warming backend is summed
	OverloadMultiple float64       // multiple of its capacity in that window that overloads a warming backend
	InitialCapacity  float64       // 0 to 1: fraction of its capacity that a backend has at least when it starts
}

// Caps is what the deployment allows.
type Caps struct {
	Cancel, Peers, HealthChecks, RetryAfter, Hedging bool

	ConnIdle, ConnectTimeout, MaxRetryAfter time.Duration
	// Time between two sweeps, which update everything that depends on time alone; 0: it is derived from the health
	// check interval.
	SweepEvery                  time.Duration
	MaxAttempts, StreamsPerConn int
}

// ReportField names a metric of a load report.
type ReportField uint8

// The fields of load reports. FieldOther is any that the Balancer does not use.
const (
	FieldOther    ReportField = iota
	FieldInFlight             // requests that the backend executes
	FieldQueued               // requests that are queued at the backend
	FieldErrors               // errors a second
)

// WeightKind says what Backend.Weight means.
type WeightKind uint8

// The kinds of weight.
const (
	WeightNone    WeightKind = iota // nothing
	WeightNominal                   // registered size, exact or approximate
	WeightLive                      // size divided by load, so it varies
)

// Config has the settings of a Balancer. Validate checks them.
type Config struct {
	Instances, Rank    int           // how many proxies there are, 1 or more, and which this one is, from 0
	Zone               int           // the zone in which the proxy runs
	Tick               time.Duration // the resolution of the caller's timers
	Classes            []Class
	Tenants            []Tenant
	OverQuotaValue     float64 // 0 to 1: fraction of its value that traffic beyond a tenant's quota keeps
	ValueByWork        bool    // a request's value is multiplied by its work
	KeyAffinity        bool    // a backend that has served a key recently needs less work for it
	ClientsMarkRetries bool    // clients mark their retries
	PollMembership     bool    // the membership arrives only when it is fetched
	Weights            WeightKind
	Report             []ReportField // order of the values of a load report
	Goal               Goal
	Prices             Prices
	Obligations        Obligations
	Caps               Caps
	Advice             Advice // nil is NoAdvice
}

// Advice is what a caller knows about backends beyond what their answers show: which models they have loaded, how
// many requests they execute at once, what a request still costs there. It is called from within the Balancer's event
// methods and must be as deterministic as the Balancer: equal calls after equal events return equal results.
type Advice interface {
	// CanServe tells whether a backend can run the request in its present state.
	CanServe(q *Request, to BackendID) bool
	// Allows tells whether the backend may be sent one more request now.
	Allows(now time.Duration, to BackendID) bool
	// RecordSent records that the request was sent to the backend.
	RecordSent(now time.Duration, q *Request, to BackendID)
	// Slots is how many requests of this proxy the backend may have in flight; 0 is unknown.
	Slots(to BackendID) int
	// ExtraDelay is how much longer than usual a request takes at the backend, ms.
	ExtraDelay(now time.Duration, q *Request, to BackendID) float64
	// TryRetry takes one retry from the retry budget, or returns false if the budget is used up.
	TryRetry(now time.Duration) bool
}

// NoAdvice is an Advice without knowledge: any backend can serve any request.
type NoAdvice struct{}

// CanServe implements Advice.
func (NoAdvice) CanServe(*Request, BackendID) bool { return true }

// Allows implements Advice.
func (NoAdvice) Allows(time.Duration, BackendID) bool { return true }

// RecordSent implements Advice.
func (NoAdvice) RecordSent(time.Duration, *Request, BackendID) {}

// Slots implements Advice.
func (NoAdvice) Slots(BackendID) int { return 0 }

// ExtraDelay implements Advice.
func (NoAdvice) ExtraDelay(time.Duration, *Request, BackendID) float64 { return 0 }

// TryRetry implements Advice.
func (NoAdvice) TryRetry(time.Duration) bool { return true }

// Request is a request that the proxy has received.
type Request struct {
	ID        RequestID
	Class     int
	Tenant    int
	Key       uint64        // 0 is none
	Cost      time.Duration // expected work; 0 is unknown
	Deadline  time.Duration // the time at which the client gives up
	IsRetry   bool          // the client has marked it as a retry
	Needs     *Needs        // for Advice; nil is nothing special
	PriorRuns int           // attempts that may have run before this proxy received it
}

// Needs is what a request requires of a backend beyond its class.
type Needs struct {
	Model, Adapter  string
	Prompt          []PromptSegment // in order
	MaxOutputTokens int             // tokens generated, at most
	Avoid           BackendID       // the backend that has just failed it; 0 is none
}

// PromptSegment is a part of a prompt that other prompts may share as a prefix.
type PromptSegment struct {
	ID     uint64
	Tokens int
}

// State is the state of a backend in the membership.
type State uint8

// The states.
const (
	Gone     State = iota // not in the membership
	Ready                 // may get requests
	Draining              // finishes its requests and may get no new ones
)

// Backend is an entry of the membership.
type Backend struct {
	ID               BackendID
	Zone, Kind, Cell int
	State            State
	Weight           float64
	Started          time.Duration // the time of its last start; 0 means long ago
}

// MembershipKind says what a Membership contains.
type MembershipKind uint8

// The kinds of Membership.
const (
	MembershipDelta  MembershipKind = iota // changed entries only
	MembershipFull                         // all entries
	MembershipCached                       // all entries as last known, possibly stale
	MembershipFailed                       // a Watch or Fetch failed; the membership stays as it was
)

// Membership is what discovery reports about the backends.
type Membership struct {
	Kind     MembershipKind
	Version  uint32
	Backends []Backend
}

// Result is how an attempt or a health check ended.
type Result uint8

// The results.
const (
	OK            Result = iota
	Error                // answered with an error; it may have run
	Rejected             // rejected before it ran
	Timeout              // no timely answer; it may run
	ConnectFailed        // no connection; it never ran
	Reset                // the connection broke; it may have run
	Cancelled            // cancelled by the proxy; it may have run
	NotSent              // never sent
	Unprocessable        // answered that the request itself is invalid
)

// NeverRan tells whether the result proves that the attempt did not run.
func (r Result) NeverRan() bool { return r == Rejected || r == ConnectFailed || r == NotSent }

// Outcome is the end of an attempt.
type Outcome struct {
	ID      RequestID
	Attempt int
	Backend BackendID
	Result  Result
	Took    time.Duration
	Final   bool // its answer went to the client; if not set, the request still needs a final answer
	Load    []float32
}

// HealthCheckResult is the end of a health check.
type HealthCheckResult struct {
	Backend BackendID
	Result  Result
	Took    time.Duration
	Load    []float32
}

// FirstByte reports that a streamed answer has begun.
type FirstByte struct {
	ID      RequestID
	Attempt int
	Backend BackendID
	Took    time.Duration
}

// PeerMessage comes from another proxy.
type PeerMessage struct {
	From int
	Body []byte
}

// Host carries out a Balancer's actions, in the order of the calls.
type Host interface {
	// Send begins an attempt. It is abandoned at until; 0 means the client's deadline. If its last byte can't be sent
	// by before, nothing of it may be sent; 0 means no bound.
	Send(id RequestID, to BackendID, until, before time.Duration)
	Reject(id RequestID, retryAfter time.Duration) // final answer: a retry is harmless
	Fail(id RequestID)                             // final answer: the request may have run
	Cancel(id RequestID, attempt int)
	CheckHealth(b BackendID) // OnHealthCheck gets the result
	Release(b BackendID)     // close idle connections to it
	Watch(on bool)           // subscribe to membership changes
	Fetch()                  // request the membership once
	SendToPeer(peer uint32, body []byte)
	StartTimer(d time.Duration, token uint64) // calls Balancer.OnTimer after d
	Log(line string)
}
