package emulator

import (
	"errors"
	"fmt"
	"time"
)

// Kind is a kind of requests.
type Kind struct {
	Name          string
	PerSecond     float64
	Aim, Deadline time.Duration
	Worth, Late   float64 // of an answer in time, and of one after the aim
	Priority      int
	SharedTokens  int // of the prompt: the same for all requests with a model
	PromptTokens  int // of the rest of the prompt, on average
	OutputTokens  int // on average
	Rare          bool
	AdapterShare  float64
}

// Shift moves demand on by some places in the list of busy models.
type Shift struct {
	At, Over time.Duration
	Places   int
}

// Burst multiplies the requests of a kind for a time.
type Burst struct {
	At, Over time.Duration
	Kind     string
	Factor   float64
}

// Engine is what a backend's engine is like.
type Engine struct {
	Slots         int
	Step          time.Duration // with nothing to read
	StepPerSlot   time.Duration // more for each request that runs
	Chunk         int           // tokens of prompts read in a step at most
	TokensPerMS   float64       // read
	PairsMSPerM   float64       // more, for a million pairs of tokens that attend to each other
	Stride        int           // tokens of an event
	LongestPause  time.Duration // between two events of an answer in time
	CapacityMB    float64
	AdapterSlots  int
	LoadTime      time.Duration
	LoadPerSecond float64
	LoadsAtOnce   int
}

// Knowledge says what planner and proxies know.
type Knowledge int

// The kinds of knowledge.
const (
	// AsInService: what is reported, when it is reported.
	AsInService Knowledge = iota
	// DemandAhead: the planner is told of requests before they come, by a load's time.
	DemandAhead
	// AllAtOnce: that, and each proxy sees the work of all backends as it is.
	AllAtOnce
	// Alone: proxies are not told what others have sent.
	Alone
)

// Config is a deployment with its day.
type Config struct {
	Seed                                uint64
	Zones, ProxiesPerZone, BackendsEach int
	CrossZone, InZone                   time.Duration // one way
	BusyModels, BusyNow, RareModels     int
	Skew, RareSkew                      float64
	ModelMB, AdapterMB                  float64
	Adapters                            int // of a busy model
	Kinds                               []Kind
	Shifts                              []Shift
	Bursts                              []Burst
	Engine                              Engine
	Length                              time.Duration
	ReportEvery                         time.Duration // of proxies
	Knowledge                           Knowledge
}

// errConfig is what a configuration that can't be played is rejected with.
var errConfig = errors.New("the deployment can't be played")

// Check says what is wrong with a configuration.
func (c *Config) Check() error {
	switch {
	case c.Zones < 1 || c.ProxiesPerZone < 1 || c.BackendsEach < 1:
		return fmt.Errorf("%w: it has no zones, proxies or backends", errConfig)
	case c.BusyNow < 1 || c.BusyNow > c.BusyModels:
		return fmt.Errorf("%w: %d of %d models are busy", errConfig, c.BusyNow, c.BusyModels)
	case c.Engine.Slots < 1 || c.Engine.Chunk < 1 || c.Engine.TokensPerMS <= 0 || c.Engine.Step <= 0:
		return fmt.Errorf("%w: its engines do nothing", errConfig)
	case c.Length <= 0 || c.ReportEvery <= 0:
		return fmt.Errorf("%w: it has no length, or no reports", errConfig)
	}
	return nil
}

// Default is a deployment of 90 proxies in five zones with 140 backends, whose demand moves on, and jumps for some seconds later.
func Default(seed uint64) Config {
	return Config{
		Seed: seed, Zones: 5, ProxiesPerZone: 18, BackendsEach: 28, CrossZone: 900 * time.Microsecond, InZone: 200 * time.Microsecond,
		BusyModels: 45, BusyNow: 18, RareModels: 400, Skew: 0.4, RareSkew: 0.3, ModelMB: 68000, AdapterMB: 66, Adapters: 20,
		Kinds: []Kind{
			{
				Name: "short", PerSecond: 457, Aim: 800 * time.Millisecond, Deadline: 5 * time.Second, Worth: 2, Late: 0.6, Priority: 1,
				SharedTokens: 568, PromptTokens: 1800, OutputTokens: 22, AdapterShare: 0.1,
			},
			{
				Name: "rare", PerSecond: 63, Aim: 6 * time.Second, Deadline: 15 * time.Second, Worth: 3, Late: 0.9,
				SharedTokens: 568, PromptTokens: 1800, OutputTokens: 22, Rare: true,
			},
			{
				Name: "long", PerSecond: 135, Aim: 800 * time.Millisecond, Deadline: 15 * time.Second, Worth: 1, Late: 0.3, Priority: 2,
				SharedTokens: 350, PromptTokens: 1110, OutputTokens: 171, AdapterShare: 0.1,
			},
		},
		Shifts: []Shift{{At: 5 * time.Second, Over: 8 * time.Second, Places: 2}},
		Bursts: []Burst{
			{At: 10500 * time.Millisecond, Over: 3200 * time.Millisecond, Kind: "rare", Factor: 2.2},
			{At: 18 * time.Second, Over: 3600 * time.Millisecond, Kind: "short", Factor: 1.4},
		},
		Engine: Engine{
			Slots: 64, Step: 8870 * time.Microsecond, StepPerSlot: 39 * time.Microsecond, Chunk: 2048, TokensPerMS: 19.1,
			PairsMSPerM: 1.47, Stride: 3, LongestPause: 400 * time.Millisecond, CapacityMB: 220000, AdapterSlots: 8, LoadTime: 4100 * time.Millisecond, LoadPerSecond: 40, LoadsAtOnce: 164,
		},
		Length: 26 * time.Second, ReportEvery: 125 * time.Millisecond,
	}
}
