package emulator

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

// small returns a deployment that is simulated in a second.
func small(seed uint64) Config {
	c := Default(seed)
	c.Zones, c.ProxiesPerZone, c.BackendsPerZone = 2, 3, 8
	c.BusyModels, c.BusyNow, c.RareModels = 6, 3, 36
	c.Adapters = 4
	for i := range c.Kinds {
		c.Kinds[i].PerSecond /= 9
	}
	c.Engine.MaxLoadsPerSecond = 6
	c.Duration = 14 * time.Second
	c.Shifts = []Shift{{At: 4 * time.Second, Over: 6 * time.Second, Positions: 1}}
	c.Bursts = nil
	return c
}

func run(t *testing.T, c Config) *Result {
	t.Helper()
	r, err := Run(c)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func TestRunIsDeterministic(t *testing.T) {
	is := is.New(t)
	first, again := run(t, small(1)), run(t, small(1))
	is.Equal(first, again)
	is.True(first.InTime > 500)
	is.True(first.ValueShare > 0.8)
	is.True(first.Loads > 0)
}

// Over several seeds, the knowledge available in production earns more value than no knowledge of peers' backlogs, and
// less than perfect knowledge.
func TestMoreKnowledgeServesMore(t *testing.T) {
	is := is.New(t)
	share := map[Knowledge]float64{}
	for _, knowledge := range []Knowledge{NoPeerBacklogs, AsInService, PerfectKnowledge} {
		for seed := range uint64(4) {
			c := small(seed + 1)
			c.Knowledge = knowledge
			share[knowledge] += run(t, c).ValueShare / 4
		}
	}
	is.True(share[NoPeerBacklogs] < share[AsInService])
	is.True(share[AsInService] < share[PerfectKnowledge])
}

func TestRunWithoutDemand(t *testing.T) {
	is := is.New(t)
	c := small(1)
	for i := range c.Kinds {
		c.Kinds[i].PerSecond = 0.001
	}
	r := run(t, c)
	is.True(r.InTime+r.Late+r.Lost <= 3)
	is.Equal(r.Loads, 0)
}

func TestRunRejectsWrongConfigs(t *testing.T) {
	is := is.New(t)
	for _, invalidate := range []func(*Config){
		func(c *Config) { c.Zones = 0 },
		func(c *Config) { c.BusyNow = c.BusyModels + 1 },
		func(c *Config) { c.Engine.PrefillTokensPerMS = 0 },
		func(c *Config) { c.Duration = 0 },
	} {
		c := small(1)
		invalidate(&c)
		_, err := Run(c)
		is.True(errors.Is(err, ErrConfig))
	}
}

// Every random deployment is valid, and different seeds give different ones.
func TestRandomDeploymentsAreValid(t *testing.T) {
	is := is.New(t)
	loads := map[time.Duration]bool{}
	for seed := range uint64(50) {
		c := RandomDeployment(Default(1), seed)
		is.NoErr(c.Check())
		loads[c.Engine.LoadTime] = true
	}
	is.Equal(len(loads), 50)
}
