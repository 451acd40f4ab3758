// Package balancer makes the decisions of an HTTP load balancer that runs as several proxies: which backend gets
// a request, and whether it is queued, retried, hedged, rejected or failed. This file is its whole interface; the
// decisions are in balancer.go and the files that it names.
//
// A Balancer is one proxy's decision maker and belongs to that proxy's event loop (internal/engine, or a test's
// Host). Each event is a call of one of its methods, and it acts by calling the Host. It never sends or receives
// anything itself, and never decides which backends exist: discovery does. The contract:
//
//   - One goroutine at a time. A Balancer starts none and takes no lock.
//   - No input or output, no wall clock and no global state. Each event carries now, the time on a monotonic
//     clock with any origin. Equal seeds and events give equal actions.
//   - Host methods are called from within the event methods. They must not call the Balancer back; what they
//     cause comes as later events.
//   - Identifiers are opaque. Backends keep theirs over a restart; a request identifier is never used again.
//
// Its mechanisms are the field's: two random choices (Mitzenmacher, 2001), rendezvous hashing for subsets (Thaler
// and Ravishankar, 1998), additive increase and multiplicative decrease of concurrency limits (Chiu and Jain,
// 1989), outlier ejection and slow start as Envoy has them, retry budgets (Google, "Site Reliability
// Engineering", 2016). The models of the sub-packages name theirs.
package balancer

import "time"

var _ Advice = NoAdvice{}

// BackendID names a backend, the same one at every proxy.
type BackendID uint32

// RequestID names one request of a client. A client that retries sends another request, with another identifier.
type RequestID uint32

// AllPeers addresses Host.SendToPeer to every peer.
const AllPeers = ^uint32(0)

// Effect says whether a request of a class is idempotent.
type Effect uint8

// The effects. Unsafe is the zero value: the careful one.
const (
	Unsafe Effect = iota // not idempotent: must never run twice
	Keyed                // retries are deduplicated within a group and a window
	Safe                 // idempotent: may be retried freely
)

// Group says which backends deduplicate the retries of a keyed request.
type Group uint8

// The groups. GroupCell is the zero value: the narrowest one.
const (
	GroupCell Group = iota // those of one cell
	GroupZone              // those of one zone
	GroupAll               // all
)

// Class is a class of requests with the same obligations.
type Class struct {
	Name                 string
	LatencyTarget        time.Duration // above 0; an answer within it earns the full value
	LatencyTargetStretch float64       // 0 or more; the target is longer by this multiple of the request's Cost
	ClientTimeout        time.Duration // above 0; how long a client waits over all its attempts
	Effect               Effect
	Group                Group // for Keyed
	// For Keyed: how long retries are deduplicated, from the first attempt that may have run.
	IdempotencyWindow time.Duration
	LateValueRatio    float64 // 0 to 1: part of its value that a late answer earns
	Stream            bool    // the answer begins with FirstByte
	Value             float64 // 0 or more: what an answer in time earns
	NeverRerun        bool    // what may have run is not sent again, whatever its effect
	// The answer is generated as it goes: its delay is until FirstByte, and it is in flight until its end.
	Generates bool
	// Attempts that may have run; 0: all attempts count, as Caps.MaxAttempts says.
	MaxRuns int
}

// Tenant is a customer with a quota of the service.
type Tenant struct {
	Name         string
	TrafficShare float64 // 0 to 1, of the traffic; for the worst tenant's part of the goal
	QuotaPerS    float64 // requests a second within its quota, over all proxies; 0 is no bound
}

// Goal weighs the parts of the result: the value earned in all, by the worst-served class, by the worst-served
// tenant and in the worst window of time. The weights are 0 or more.
type Goal struct{ Total, WorstClass, WorstTenant, WorstWindow float64 }

// Prices are taken off the result, each times its rate: of new connections, attempts in other zones, calls for the
// membership, handshakes, failures that come late, messages to peers, health checks and work done for nothing.
type Prices struct {
	Connection, CrossZone, Discovery, Handshake, LateFailure, PeerMessage, HealthCheck, Waste float64
}

// Obligations are the bounds of the four rules: one answer a request, no unsafe rerun, no send to what is draining,
// no overload of what is warming up. None may be negative.
type Obligations struct {
	AnswerSlack      time.Duration // how late after the deadline a final answer still counts
	MaxMembershipAge time.Duration // how old the membership may grow where it must be polled
	WarmupDuration   time.Duration // from a backend's start until it has its full capacity
	DrainGrace       time.Duration // within which sends to a draining backend must cease
	OverloadWindow   time.Duration // over which the work sent to a warming backend is summed
	OverloadMultiple float64       // of its capacity over that window, beyond which a warming backend falls over
	InitialCapacity  float64       // 0 to 1: part of its capacity that a started backend has at least
}

// Caps is what the deployment allows.
type Caps struct {
	Cancel, Peers, HealthChecks, RetryAfter, Hedging bool

	ConnIdle, ConnectTimeout, MaxRetryAfter time.Duration
	// Between two sweeps, which do what time alone brings about; 0: by the health check interval.
	SweepEvery                  time.Duration
	MaxAttempts, StreamsPerConn int
}

// ReportField names a metric of a load report.
type ReportField uint8

// The fields of load reports. FieldOther is one that is not used here.
const (
	FieldOther    ReportField = iota
	FieldInFlight             // requests that the backend executes
	FieldQueued               // requests that wait there
	FieldErrors               // errors a second
)

// WeightKind says what Backend.Weight stands for.
type WeightKind uint8

// The kinds of weight.
const (
	WeightNone    WeightKind = iota // nothing
	WeightNominal                   // registered size, exact or about
	WeightLive                      // size divided by load: it varies
)

// Config has the settings of a Balancer. Validate says what is wrong with them.
type Config struct {
	Instances, Rank    int           // how many proxies there are, 1 or more, and which this one is, from 0
	Zone               int           // in which the proxy runs
	Tick               time.Duration // the resolution of the caller's timers
	Classes            []Class
	Tenants            []Tenant
	OverQuotaValue     float64 // 0 to 1: part of its value that traffic beyond a tenant's quota keeps
	ValueByWork        bool    // value counts by work, not by request
	KeyAffinity        bool    // a backend that has served a key recently does so with less work
	ClientsMarkRetries bool    // clients mark their retries
	PollMembership     bool    // the membership comes only when it is fetched
	Weights            WeightKind
	Report             []ReportField // order of the values of a load report
	Goal               Goal
	Prices             Prices
	Obligations        Obligations
	Caps               Caps
	Advice             Advice // nil is NoAdvice
}

// Advice is what a caller knows of backends beyond what their answers teach: which models they have loaded, how many
// requests they execute at once, what a request still costs there. It is asked within the Balancer's events and must
// be as pure as the Balancer: equal questions after equal events have equal answers.
type Advice interface {
	// CanServe tells whether a backend can run the request as it is now.
	CanServe(q *Request, to BackendID) bool
	// Allows tells whether the backend may have one more request now.
	Allows(now time.Duration, to BackendID) bool
	// RecordSent says that the backend was sent a request.
	RecordSent(now time.Duration, q *Request, to BackendID)
	// Slots is how many requests of this proxy the backend may have in flight; 0 is not known.
	Slots(to BackendID) int
	// ExtraDelay is what a request has to wait there beyond its usual delay, ms.
	ExtraDelay(now time.Duration, q *Request, to BackendID) float64
	// TryRetry tells whether another attempt of a request fits into the retry budget, and takes it from there.
	TryRetry(now time.Duration) bool
}

// NoAdvice knows nothing: any backend can serve any request.
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
	PriorRuns int           // attempts of it that may have run before it came here
}

// Needs is what a request asks of a backend beyond its class.
type Needs struct {
	Model, Adapter  string
	Prompt          []PromptSegment // in order
	MaxOutputTokens int             // tokens generated, at most
	Avoid           BackendID       // which has just failed it; 0 is none
}

// PromptSegment is a part of a prompt, such as other prompts begin with too.
type PromptSegment struct {
	ID     uint64
	Tokens int
}

// State is what the membership says of a backend.
type State uint8

// The states.
const (
	Gone     State = iota // not in the membership
	Ready                 // may have requests
	Draining              // finishes what it has, and may have nothing new
)

// Backend is an entry of the membership.
type Backend struct {
	ID               BackendID
	Zone, Kind, Cell int
	State            State
	Weight           float64
	Started          time.Duration // the time of its last start; 0 is long ago
}

// MembershipKind says how a Membership is to be read.
type MembershipKind uint8

// The kinds of Membership.
const (
	MembershipDelta  MembershipKind = iota // changed entries only
	MembershipFull                         // all entries
	MembershipCached                       // all entries as they were last known, maybe stale
	MembershipFailed                       // a Watch or Fetch failed; the membership stays as it was
)

// Membership is what discovery says of the backends.
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
	Unprocessable        // answered that the request itself can't be used
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
	Final   bool // its answer was the client's; not set: the request still needs a final answer
	Load    []float32
}

// HealthCheckResult is the end of a health check.
type HealthCheckResult struct {
	Backend BackendID
	Result  Result
	Took    time.Duration
	Load    []float32
}

// FirstByte says that a streamed answer has begun.
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
	// Send begins an attempt. until: the time at which it is given up; 0 is the client's deadline.
	// before: the time by which its last byte has to be sent, or nothing of it may be; 0 is no bound.
	Send(id RequestID, to BackendID, until, before time.Duration)
	Reject(id RequestID, retryAfter time.Duration) // final: a retry is harmless
	Fail(id RequestID)                             // final: it may have run
	Cancel(id RequestID, attempt int)
	CheckHealth(b BackendID) // OnHealthCheck has the result
	Release(b BackendID)     // close idle connections to it
	Watch(on bool)           // subscribe to the changes of the membership
	Fetch()                  // ask for the membership once
	SendToPeer(peer uint32, body []byte)
	StartTimer(d time.Duration, token uint64) // has Balancer.OnTimer called after d
	Log(line string)
}
