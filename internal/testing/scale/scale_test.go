package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"marlreel/internal/agent"
	"marlreel/internal/controlplane"
	"marlreel/internal/controlplane/configuration"
	"marlreel/internal/dataplane/gateway"
	"marlreel/internal/process/bootstrap"
	"marlreel/internal/process/host"
)

// TestMain lets the test binary run as the real processes, whose role is its first argument.
func TestMain(m *testing.M) {
	roles := map[string]runRole{"control": controlplane.Run, "agent": agent.Run, "proxy": gateway.Run}
	if len(os.Args) > 1 && roles[os.Args[1]] != nil {
		fmt.Fprintln(os.Stderr, runProcess(roles[os.Args[1]]))
		os.Exit(1) // the trial kills its processes, so Run returns only on failure
	}
	os.Exit(m.Run())
}

type runRole func(context.Context, *host.Host) error

func runProcess(run runRole) error {
	settings, err := bootstrap.Load()
	if err != nil {
		return err
	}
	return run(context.Background(), host.New(settings, logr.Discard()))
}

func TestSmallTrial(t *testing.T) {
	is := is.New(t)
	cfg := Config{Program: os.Args[0], Controls: 3, Proxies: 6, Backends: 4, Models: 2, Zones: 2, Routes: 3, HeartbeatInterval: 300 * time.Millisecond}
	r, err := Run(t.Context(), cfg, Plan{WarmupTime: time.Second, IdleTime: time.Second, Changes: 2})
	is.NoErr(err)
	for _, role := range []string{"control", "agent", "proxy"} {
		is.True(r.IdleUsage[role].ResidentMB > 1)
		is.True(r.ChangingUsage[role].ReadKBps > 0)
	}
	is.True(r.PropagationMS.Max < 2000)
	is.True(r.FailoverMS > 0 && r.FailoverMS < 10000)
}

func TestDocumentIsValid(t *testing.T) {
	is := is.New(t)
	parsed, err := configuration.Parse(document(Config{Routes: 5, Models: 7}, 3))
	is.True(err == nil)
	is.Equal(len(parsed.Routes), 5)
	is.Equal(len(parsed.Services[0].Engine.Models), 7)
}

func TestFitLine(t *testing.T) {
	is := is.New(t)
	f := FitLine([]float64{1, 2, 3, 4}, []float64{5, 7, 9, 11})
	is.Equal(fmt.Sprintf("%.3f %.3f %.3f", f.Intercept, f.Slope, f.RootMeanSquareError), "3.000 2.000 0.000")
	f = FitLine([]float64{0, 1, 2}, []float64{0, 3, 0})
	is.Equal(fmt.Sprintf("%.3f %.3f %.3f", f.Intercept, f.Slope, f.RootMeanSquareError), "1.000 0.000 1.414")
}

func TestPercentiles(t *testing.T) {
	is := is.New(t)
	var times []time.Duration
	for i := range 100 {
		times = append(times, time.Duration(100-i)*time.Millisecond)
	}
	data, err := json.Marshal(percentilesOf(times))
	is.NoErr(err)
	is.Equal(string(data), `{"p50":51,"p99":100,"worst":100}`)
}
