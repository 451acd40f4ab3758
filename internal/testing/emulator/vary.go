package emulator

import (
	"math/rand/v2"
	"time"
)

// Vary draws another deployment by a seed: other rates, shares, numbers of models and machines, load times, speeds of
// engines and aims. What serves one deployment well has to serve others.
func Vary(base Config, seed uint64) Config {
	rng := rand.New(rand.NewPCG(seed, 3))
	between := func(least, most float64) float64 { return least + rng.Float64()*(most-least) }
	scaled := func(span time.Duration, factor float64) time.Duration { return time.Duration(float64(span) * factor) }
	c := base
	c.Seed = seed
	c.Zones = 2 + rng.IntN(5)
	c.ProxiesPerZone = 6 + rng.IntN(14)
	c.BackendsEach = 12 + rng.IntN(18)
	c.BusyNow = 6 + rng.IntN(16)
	c.BusyModels = 2*c.BusyNow + rng.IntN(c.BusyNow)
	c.RareModels = 60 + rng.IntN(400)
	c.Skew = between(0.2, 0.9)
	c.Engine.TokensPerMS *= between(0.7, 1.5)
	c.Engine.LoadTime = scaled(c.Engine.LoadTime, between(0.5, 1.6))
	backends := float64(c.Zones * c.BackendsEach)
	c.Engine.LoadPerSecond = backends * between(0.25, 0.5)
	c.Engine.LoadsAtOnce = int(backends)
	// The work that is asked for is a part of what all engines can do.
	load, aims := between(0.35, 0.65), between(0.8, 2)
	kinds := append([]Kind(nil), base.Kinds...)
	work := 0.0
	for i := range kinds {
		kinds[i].PerSecond *= between(0.6, 1.4)
		kinds[i].Aim = scaled(kinds[i].Aim, aims)
		work += kinds[i].PerSecond * float64(kinds[i].PromptTokens) / c.Engine.TokensPerMS / 1000
	}
	for i := range kinds {
		kinds[i].PerSecond *= load * backends / work
	}
	c.Kinds = kinds
	c.Shifts = []Shift{{At: 5 * time.Second, Over: scaled(8*time.Second, between(0.5, 1.5)), Places: 1 + rng.IntN(3)}}
	return c
}
