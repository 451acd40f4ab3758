package emulator

import (
	"errors"
	"fmt"
	"time"
)

// RequestKind describes a class of requests.
type RequestKind struct {
	Name                    string
	PerSecond               float64
	LatencyTarget, Deadline time.Duration
	Value, LateValue        float64 // of a response within the latency target, and of a later one
	Priority                int
	SharedTokens            int // prompt prefix, the same for all requests of a model
	PromptTokens            int // mean of the rest of the prompt
	OutputTokens            int // mean
	Rare                    bool
	AdapterShare            float64
}

// Shift moves demand by a number of positions in the list of busy models.
type Shift struct {
	At, Over  time.Duration
	Positions int
}

// Burst multiplies the request rate of a kind for a limited time.
type Burst struct {
	At, Over time.Duration
	Kind     string
	Factor   float64
}

// Engine describes the inference engine of a backend.
type Engine struct {
	Slots                int
	StepTime             time.Duration // base time of a step, without prompts
	StepTimePerRequest   time.Duration // added for each running request
	PrefillChunk         int           // maximum prompt tokens per step
	PrefillTokensPerMS   float64       // prefill speed
	AttentionMSPerMPairs float64       // added for each million pairs of tokens that attend to each other
	TokensPerEvent       int           // tokens in each event of a stream
	MaxPause             time.Duration // longest allowed time between two events of a response
	CapacityMB           float64
	MaxAdapters          int
	LoadTime             time.Duration
	MaxLoadsPerSecond    float64
	MaxConcurrentLoads   int
}

// Knowledge says what the planner and the proxies know of demand and of the backends.
type Knowledge int

// The kinds of knowledge.
const (
	// AsInService: reported state only, with its delay, as in production.
	AsInService Knowledge = iota
	// KnownDemand: the planner learns of each request one load time before it arrives.
	KnownDemand
	// PerfectKnowledge: KnownDemand, and each proxy sees the current pending work of all backends.
	PerfectKnowledge
	// NoPeerBacklogs: proxies do not learn the backlogs of their peers.
	NoPeerBacklogs
)

// Config describes a deployment and its demand.
type Config struct {
	Seed                                   uint64
	Zones, ProxiesPerZone, BackendsPerZone int
	CrossZone, InZone                      time.Duration // one way
	BusyModels, BusyNow, RareModels        int
	Skew, RareSkew                         float64
	ModelMB, AdapterMB                     float64
	Adapters                               int // of each busy model
	Kinds                                  []RequestKind
	Shifts                                 []Shift
	Bursts                                 []Burst
	Engine                                 Engine
	Duration                               time.Duration
	ReportInterval                         time.Duration // of proxies
	Knowledge                              Knowledge
}

// ErrConfig is the error for a configuration that can't be simulated.
var ErrConfig = errors.New("invalid deployment")

// Check returns an error that wraps ErrConfig if the configuration can't be simulated.
func (c *Config) Check() error {
	switch {
	case c.Zones < 1 || c.ProxiesPerZone < 1 || c.BackendsPerZone < 1:
		return fmt.Errorf("%w: zones, proxies and backends must be at least 1", ErrConfig)
	case c.BusyNow < 1 || c.BusyNow > c.BusyModels:
		return fmt.Errorf("%w: %d busy models out of %d", ErrConfig, c.BusyNow, c.BusyModels)
	case c.Engine.Slots < 1 || c.Engine.PrefillChunk < 1 || c.Engine.PrefillTokensPerMS <= 0 || c.Engine.StepTime <= 0:
		return fmt.Errorf("%w: slots, prefill and step time of the engine must be positive", ErrConfig)
	case c.Duration <= 0 || c.ReportInterval <= 0:
		return fmt.Errorf("%w: duration and report interval must be positive", ErrConfig)
	}
	return nil
}

// Default returns a deployment of 90 proxies and 140 backends in five zones. Its demand shifts to other models, and later
// has bursts of some seconds.
func Default(seed uint64) Config {
	return Config{
		Seed: seed, Zones: 5, ProxiesPerZone: 18, BackendsPerZone: 28, CrossZone: 900 * time.Microsecond, InZone: 200 * time.Microsecond,
		BusyModels: 45, BusyNow: 18, RareModels: 400, Skew: 0.4, RareSkew: 0.3, ModelMB: 68000, AdapterMB: 66, Adapters: 20,
		Kinds: []RequestKind{
			{
				Name: "short", PerSecond: 457, LatencyTarget: 800 * time.Millisecond, Deadline: 5 * time.Second, Value: 2, LateValue: 0.6, Priority: 1,
				SharedTokens: 568, PromptTokens: 1800, OutputTokens: 22, AdapterShare: 0.1,
			},
			{
				Name: "rare", PerSecond: 63, LatencyTarget: 6 * time.Second, Deadline: 15 * time.Second, Value: 3, LateValue: 0.9,
				SharedTokens: 568, PromptTokens: 1800, OutputTokens: 22, Rare: true,
			},
			{
				Name: "long", PerSecond: 135, LatencyTarget: 800 * time.Millisecond, Deadline: 15 * time.Second, Value: 1, LateValue: 0.3, Priority: 2,
				SharedTokens: 350, PromptTokens: 1110, OutputTokens: 171, AdapterShare: 0.1,
			},
		},
		Shifts: []Shift{{At: 5 * time.Second, Over: 8 * time.Second, Positions: 2}},
		Bursts: []Burst{
			{At: 10500 * time.Millisecond, Over: 3200 * time.Millisecond, Kind: "rare", Factor: 2.2},
			{At: 18 * time.Second, Over: 3600 * time.Millisecond, Kind: "short", Factor: 1.4},
		},
		Engine: Engine{
			Slots: 64, StepTime: 8870 * time.Microsecond, StepTimePerRequest: 39 * time.Microsecond, PrefillChunk: 2048, PrefillTokensPerMS: 19.1,
			AttentionMSPerMPairs: 1.47, TokensPerEvent: 3, MaxPause: 400 * time.Millisecond, CapacityMB: 220000, MaxAdapters: 8, LoadTime: 4100 * time.Millisecond, MaxLoadsPerSecond: 40, MaxConcurrentLoads: 164,
		},
		Duration: 26 * time.Second, ReportInterval: 125 * time.Millisecond,
	}
}
