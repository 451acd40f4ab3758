package emulator

import (
	"math/rand/v2"
	"time"
)

// RandomDeployment draws a variation of a deployment from a seed: request rates and their mix, numbers of models and
// machines, load times, engine speeds and latency targets. It shows whether a change helps other deployments too.
func RandomDeployment(base Config, seed uint64) Config {
	rng := rand.New(rand.NewPCG(seed, 3))
	between := func(low, high float64) float64 { return low + rng.Float64()*(high-low) }
	scaled := func(span time.Duration, factor float64) time.Duration { return time.Duration(float64(span) * factor) }
	c := base
	c.Seed = seed
	c.Zones = 2 + rng.IntN(5)
	c.ProxiesPerZone = 6 + rng.IntN(14)
	c.BackendsPerZone = 12 + rng.IntN(18)
	c.BusyNow = 6 + rng.IntN(16)
	c.BusyModels = 2*c.BusyNow + rng.IntN(c.BusyNow)
	c.RareModels = 60 + rng.IntN(400)
	c.Skew = between(0.2, 0.9)
	c.Engine.PrefillTokensPerMS *= between(0.7, 1.5)
	c.Engine.LoadTime = scaled(c.Engine.LoadTime, between(0.5, 1.6))
	backends := float64(c.Zones * c.BackendsPerZone)
	c.Engine.MaxLoadsPerSecond = backends * between(0.25, 0.5)
	c.Engine.MaxConcurrentLoads = int(backends)
	// Scale the request rates so that demand takes the fraction load of the prefill speed of all engines.
	load, targets := between(0.35, 0.65), between(0.8, 2)
	kinds := append([]RequestKind(nil), base.Kinds...)
	work := 0.0
	for i := range kinds {
		kinds[i].PerSecond *= between(0.6, 1.4)
		kinds[i].LatencyTarget = scaled(kinds[i].LatencyTarget, targets)
		work += kinds[i].PerSecond * float64(kinds[i].PromptTokens) / c.Engine.PrefillTokensPerMS / 1000
	}
	for i := range kinds {
		kinds[i].PerSecond *= load * backends / work
	}
	c.Kinds = kinds
	c.Shifts = []Shift{{At: 5 * time.Second, Over: scaled(8*time.Second, between(0.5, 1.5)), Positions: 1 + rng.IntN(3)}}
	return c
}
