package main

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"text/tabwriter"
	"time"

	"github.com/matryer/is"

	"marlreel/internal/testing/emulator"
)

func TestUsageErrors(t *testing.T) {
	for _, arguments := range [][]string{{"--seeds", "0"}, {"--first", "-1"}, {"--jobs", "0"}} {
		is := is.New(t)
		cmd := command()
		cmd.SetArgs(arguments)
		cmd.SetOut(&bytes.Buffer{})
		cmd.SetErr(&bytes.Buffer{})
		var wrong *usageError
		is.True(errors.As(cmd.Execute(), &wrong))
	}
}

// The seed and the knowledge determine a run's configuration; with vary, the seed also determines the deployment.
func TestConfigDependsOnSeed(t *testing.T) {
	is := is.New(t)
	usual := runSet{knowledge: emulator.NoPeerBacklogs, first: 3}.config(2)
	is.Equal(usual.Seed, uint64(5))
	is.Equal(usual.Knowledge, emulator.NoPeerBacklogs)
	is.Equal(usual.Engine, emulator.Default(5).Engine)
	drawn := runSet{first: 3, vary: true}.config(2)
	is.True(drawn.Engine.LoadTime != usual.Engine.LoadTime)
}

func TestRunSeedsPrintsEachRunAndMean(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	table := tabwriter.NewWriter(&out, 0, 8, 2, ' ', 0)
	small := func(c emulator.Config) emulator.Config {
		c.Zones, c.ProxiesPerZone, c.BackendsPerZone, c.Duration = 1, 2, 20, time.Second
		return c
	}
	is.NoErr(runSeeds(table, "in service", runSet{seeds: 2, jobs: 2, change: small}))
	is.NoErr(table.Flush())
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(len(lines), 3)
	is.True(strings.HasPrefix(lines[2], "in service  mean"))
}
