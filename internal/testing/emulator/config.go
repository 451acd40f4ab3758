package emulator

import (
	"errors"
	"fmt"
	"time"
)

// RequestKind is a kind of requests.
type RequestKind struct {
	Name                    string
	PerSecond               float64
	LatencyTarget, Deadline time.Duration
	Value, LateValue        float64 // of an answer within the latency target, and of one after it
	Priority                int
	SharedTokens            int // of the prompt: the same for all requests with a model
	PromptTokens            int // of the rest of the prompt, on average
	OutputTokens            int // on average
	Rare                    bool
	AdapterShare            float64
}

// Shift moves demand on by some positions in the list of busy models.
type Shift struct {
	At, Over  time.Duration
	Positions int
}

// Burst multiplies the requests of a kind for a time.
type Burst struct {
	At, Over time.Duration
	Kind     string
	Factor   float64
}

// Engine is what a backend's engine is like.
type Engine struct {
	Slots                int
	StepTime             time.Duration // with nothing to read
	StepTimePerRequest   time.Duration // more for each request that runs
	PrefillChunk         int           // tokens of prompts read in a step at most
	PrefillTokensPerMS   float64       // read
	AttentionMSPerMPairs float64       // more, for a million pairs of tokens that attend to each other
	TokensPerEvent       int           // tokens of an event
	MaxPause             time.Duration // between two events of an answer in time
	CapacityMB           float64
	MaxAdapters          int
	LoadTime             time.Duration
	MaxLoadsPerSecond    float64
	MaxConcurrentLoads   int
}

// Knowledge is what the planner and the proxies know.
type Knowledge int

// The kinds of knowledge.
const (
	// AsInService: what is reported, when it is reported.
	AsInService Knowledge = iota
	// KnownDemand: the planner knows of requests before they come, by the time of a load.
	KnownDemand
	// PerfectKnowledge: that, and each proxy sees the pending work of all backends as it is.
	PerfectKnowledge
	// NoPeerBacklogs: proxies do not learn what their peers have sent.
	NoPeerBacklogs
)

// Config is a deployment with its demand.
type Config struct {
	Seed                                   uint64
	Zones, ProxiesPerZone, BackendsPerZone int
	CrossZone, InZone                      time.Duration // one way
	BusyModels, BusyNow, RareModels        int
	Skew, RareSkew                         float64
	ModelMB, AdapterMB                     float64
	Adapters                               int // of a busy model
	Kinds                                  []RequestKind
	Shifts                                 []Shift
	Bursts                                 []Burst
	Engine                                 Engine
	Duration                               time.Duration
	ReportInterval                         time.Duration // of proxies
	Knowledge                              Knowledge
}

// ErrConfig is what a configuration is rejected with that can't be simulated.
var ErrConfig = errors.New("the deployment can't be played")

// Check gives an error (ErrConfig) that says what is wrong with a configuration; nil where nothing is.
func (c *Config) Check() error {
	switch {
	case c.Zones < 1 || c.ProxiesPerZone < 1 || c.BackendsPerZone < 1:
		return fmt.Errorf("%w: it has no zones, proxies or backends", ErrConfig)
	case c.BusyNow < 1 || c.BusyNow > c.BusyModels:
		return fmt.Errorf("%w: %d of %d models are busy", ErrConfig, c.BusyNow, c.BusyModels)
	case c.Engine.Slots < 1 || c.Engine.PrefillChunk < 1 || c.Engine.PrefillTokensPerMS <= 0 || c.Engine.StepTime <= 0:
		return fmt.Errorf("%w: its engines do nothing", ErrConfig)
	case c.Duration <= 0 || c.ReportInterval <= 0:
		return fmt.Errorf("%w: it has no length, or no reports", ErrConfig)
	}
	return nil
}

// Default is a deployment of 90 proxies in five zones with 140 backends, whose demand moves on, and jumps for some seconds later.
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
