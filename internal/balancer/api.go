// Package balancer makes the decisions of an HTTP load balancer that runs as a
// small bank of proxies. This file is its whole interface; the decisions are
// in balancer.go and the files that it names.
//
// A Balancer is one proxy's decision maker. Its caller tells it what happened
// by calling one method an event, and it answers by calling the Host. The
// contract:
//
//   - One goroutine at a time. A Balancer starts none and takes no lock.
//   - No input or output, no wall clock and no global state. Time is the
//     caller's: each event carries now, a span on a clock that starts anywhere
//     and never goes back. Equal seeds and events give equal actions.
//   - Host methods are called from within the event methods. They must not
//     call the Balancer back; what they cause comes as later events.
//   - Identifiers are opaque. Backends keep theirs over a restart; a request
//     identifier is never used again.
package balancer

import "time"

// BackendID names a backend, the same one at every proxy.
type BackendID uint32

// RequestID names one try of a client.
type RequestID uint32

// AllPeers addresses Host.Tell to every peer.
const AllPeers = ^uint32(0)

// Effect says what repeating a request of a class may do.
type Effect uint8

// The effects. Unsafe is the zero value: the careful one.
const (
	Unsafe Effect = iota // must never run twice
	Keyed                // repeats are dropped within a group and a window
	Safe                 // may be repeated freely
)

// Group says which backends drop repeats of a keyed request.
type Group uint8

// The groups. GroupCell is the zero value: the narrowest one.
const (
	GroupCell Group = iota
	GroupZone
	GroupAll
)

// Class is a kind of request.
type Class struct {
	Name                 string
	LatencyTarget        time.Duration // an answer within it earns the full worth
	LatencyTargetStretch float64       // the aim is longer by this multiple of the request's own work
	ClientTimeout        time.Duration // how long a client waits over all its tries
	Effect               Effect
	Group                Group // for Keyed
	// For Keyed: how long repeats are dropped, from the first send that may have run.
	IdempotencyWindow time.Duration
	LateValueRatio    float64 // share of the worth that a late answer earns
	Stream            bool    // the answer begins with FirstByte
	Value             float64 // worth of a request
	NeverRerun        bool    // what may have run is not sent again, whatever its effect
	// The answer is generated as it goes: its delay is until FirstByte, its place until the end.
	Generates bool
	// Attempts that may have run; 0: all attempts count, as Caps.MaxAttempts says.
	MaxRuns int
}

// Tenant is a customer with a share of the service.
type Tenant struct {
	Name      string
	Share     float64
	QuotaPerS float64 // requests a second within its share, over all proxies
}

// Goal weighs the parts of the result.
type Goal struct{ Whole, WorstClass, WorstTenant, WorstWindow float64 }

// Prices are taken off the result, each times its rate.
type Prices struct {
	Connection, CrossZone, Discovery, Handshake, LateFail, Peer, Probe, Waste float64
}

// Obligations are the figures of the four rules.
type Obligations struct {
	AnswerSlack      time.Duration // how late after the deadline a final answer still counts
	MaxMembershipAge time.Duration // where the list must be asked for: how old an answer may grow
	WarmupDuration   time.Duration // a started backend is warm after this
	DrainGrace       time.Duration // sends to a draining backend must cease within this
	OverloadWindow   time.Duration // the window of the cold budget
	OverloadMultiple float64       // a cold backend falls over beyond this many times its capacity
	InitialCapacity  float64       // share of its capacity that a started backend has at least
}

// Caps is what the site allows.
type Caps struct {
	Cancel, Peers, Probes, RetryAfter, Hedging bool

	ConnIdle, ConnectTimeout, MaxRetryAfter time.Duration
	// Between two looks at what time alone brings; 0: by the probe interval.
	SweepEvery                  time.Duration
	MaxAttempts, StreamsPerConn int
}

// ReportField names a figure of a load report.
type ReportField uint8

// The fields of load reports. FieldOther is one that is not used here.
const (
	FieldOther    ReportField = iota
	FieldInFlight             // requests in hand
	FieldQueued               // requests waiting
	FieldErrors               // errors a second
)

// WeightKind says what Backend.Weight stands for.
type WeightKind uint8

// The kinds of weight.
const (
	WeightNone    WeightKind = iota // nothing
	WeightNominal                   // registered size, exact or about
	WeightLive                      // size over load: it varies
)

// Config is what a Balancer is told at its start.
type Config struct {
	Instances, Rank int // how many proxies there are, and which this one is
	Zone            int // where it is
	Tick            time.Duration
	Classes         []Class
	Tenants         []Tenant
	OverQuotaValue  float64 // worth of traffic beyond a tenant's share, as a share
	ValueByWork     bool    // worth counts by work, not by request
	KeyAffinity     bool    // a backend that met a key lately serves it with less work
	MarksRetry      bool    // clients mark their repeats
	PollMembership  bool    // the list comes only when asked for
	Weights         WeightKind
	Report          []ReportField // order of the values of a load report
	Goal            Goal
	Prices          Prices
	Obligations     Obligations
	Caps            Caps
	Advice          Advice // nil is NoAdvice
}

// Advice is what a caller knows of backends beyond what their answers teach: what they
// hold, how much they bear, what a request still costs there. It is asked within the
// Balancer's events and must be as pure as the Balancer: equal questions after equal
// events have equal answers.
type Advice interface {
	// CanServe tells whether a backend can run the request as it is now.
	CanServe(q *Request, to BackendID) bool
	// Allows tells whether the backend may have one more request now; Sent says that
	// it was sent one.
	Allows(now time.Duration, to BackendID) bool
	RecordSent(now time.Duration, q *Request, to BackendID)
	// Slots is how many requests of this proxy the backend may have at once; 0 is not known.
	Slots(to BackendID) int
	// ExtraDelay is what a request has to wait there beyond its usual delay, ms.
	ExtraDelay(now time.Duration, q *Request, to BackendID) float64
	// TryRetry tells whether one more arrival of a request that has arrived before fits
	// into the budget, and takes it from there.
	TryRetry(now time.Duration) bool
}

// NoAdvice knows nothing: all backends hold everything and admit all.
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

// Request is one try of a client that the proxy has taken.
type Request struct {
	ID        RequestID
	Class     int
	Tenant    int
	Key       uint64        // 0 is none
	Cost      time.Duration // expected work; 0 is unknown
	Deadline  time.Duration // the clock time at which the client leaves
	IsRetry   bool          // the client has marked it as a repeat
	Needs     *Needs        // for Advice; nil is nothing special
	PriorRuns int           // attempts of it that may have run before it came here
}

// Needs is what a request asks of a backend beyond its class.
type Needs struct {
	Model, Adapter string
	Prompt         []PromptPart // in order
	Output         int          // tokens out at most
	Avoid          BackendID    // that has just failed it; 0 is none
}

// PromptPart is a part of a prompt, by which others begin too.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// State is what the list says of a backend.
type State uint8

// The states.
const (
	Gone State = iota
	Ready
	Draining
)

// Backend is an entry of the list.
type Backend struct {
	ID               BackendID
	Zone, Kind, Cell int
	State            State
	Weight           float64
	Started          time.Duration // clock time of its last start; 0 is long ago
}

// ListKind says how a Membership is to be read.
type ListKind uint8

// The kinds of list.
const (
	ListDelta  ListKind = iota // changed entries only
	ListFull                   // the whole list
	ListCached                 // the whole list as last held, maybe old
	ListFailed                 // a Watch or Fetch failed; the old list stands
)

// Membership is what discovery says.
type Membership struct {
	Kind     ListKind
	Version  uint32
	Backends []Backend
}

// Result is how an attempt or a probe ended.
type Result uint8

// The results.
const (
	OK            Result = iota
	Error                // answered with an error; it may have run
	Rejected             // turned away unseen
	Timeout              // no timely answer; it may run
	ConnectFailed        // no connection; it never ran
	Reset                // the connection broke; it may have run
	Cancelled            // called off; it may have run
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
	Final   bool // the request is over; not set: a final answer is still owed
	Load    []float32
}

// HealthCheckResult is the end of a probe.
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
	// Send begins an attempt. until: clock time at which it is given up; 0 is the client's deadline.
	// before: by when its last byte has to be out, or nothing of it may be; 0 is no bound.
	Send(id RequestID, to BackendID, until, before time.Duration)
	Reject(id RequestID, retryAfter time.Duration) // final: coming again is harmless
	Fail(id RequestID)                             // final: nothing is promised
	Cancel(id RequestID, attempt int)
	CheckHealth(b BackendID)
	Release(b BackendID) // give back idle connections
	Watch(on bool)       // ask for the list's changes from here on
	Fetch()              // ask for the whole list once
	SendToPeer(peer uint32, body []byte)
	StartTimer(d time.Duration, token uint64) // calls for Balancer.Timer
	Log(line string)
}
