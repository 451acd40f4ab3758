package days

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"marlreel/internal/experiment"
	"marlreel/internal/standin"
)

// As a child process the test binary acts as a proxy, or as a daemon that checks its settings.
func TestMain(m *testing.M) {
	switch os.Getenv("DAYS_TEST_CHILD") {
	case "proxy":
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
		defer stop()
		if err := standin.RunPlainProxy(ctx, os.Getenv("NODE_CONFIG"), standin.Faults{}); err != nil {
			os.Exit(1)
		}
	case "never":
		os.Exit(4)
	case "checks":
		data, err := os.ReadFile(os.Args[len(os.Args)-1])
		if err != nil || !strings.Contains(string(data), "idle = '20s'") {
			println(os.Args[len(os.Args)-1] + ":2: rpc.idle is wrong")
			os.Exit(2)
		}
	default:
		goleak.VerifyTestMain(m)
	}
}

const short = `
length = "1500ms"
[[fleet.nodes]]
kind = "mid"
count = 3
cores = 2
speed = [1.0, 1.0]
slots = 20
queue = 20
[fleet]
zones = ["koper"]
[proxies]
count = 2
[traffic]
rate = 30
[[classes]]
name = "lot-list"
share = 1
work = "5ms"
wait = "5ms"
spread = 0.5
aim = "800ms"
give-up = "1s"
worth = 1
effect = "safe"
answer-bytes = 100
[[houses]]
name = "obala"
share = 1
`

func player(t *testing.T, child string) *Player {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	return &Player{
		Scenario: "short",
		Text:     func(name string) (string, []byte, error) { return name + ".toml", []byte(short), nil },
		Command: func(experiment.Arm) ([]string, string, error) {
			return []string{"/usr/bin/env", "DAYS_TEST_CHILD=" + child, self}, child, nil
		},
	}
}

// Settings are merged into tables and lists at their paths; an invalid one gives an error that says what is valid.
func TestSettings(t *testing.T) {
	t.Parallel()
	p := player(t, "checks")
	s, text, err := p.scenario(experiment.Day{Set: map[string]any{
		"traffic.rate": int64(77), "fleet.nodes.0.count": int64(5),
		"classes.0.aim": "700ms", "fleet.cold.for": "4s", "length": "9s",
	}, Daemon: map[string]any{"rpc.idle": "20s"}})
	if err != nil {
		t.Fatal(err)
	}
	if s.Traffic.Rate != 77 || s.Fleet.Nodes[0].Count != 5 || s.Classes[0].Aim.D() != 700*time.Millisecond || s.Fleet.Cold.For.D() != 4*time.Second ||
		s.Name != "short" || !strings.Contains(s.OwnFile(0, "", "", "", nil), "idle = '20s'") || !strings.Contains(text, "77") {
		t.Errorf("%+v\n%s", s, text)
	}
	c, err := p.Check(experiment.Day{Set: map[string]any{"length": "9s"}, Daemon: map[string]any{"rpc.idle": "20s"}})
	if err != nil || c.Length != 12*time.Second || len(c.Build) != 64 {
		t.Errorf("%+v, %v", c, err)
	}
	for key, c := range map[string]struct {
		day  experiment.Day
		want string
	}{
		"unknown":     {experiment.Day{Set: map[string]any{"traffic.rat": 1}}, "unknown key traffic.rat (did you mean rate?)"},
		"no index":    {experiment.Day{Set: map[string]any{"fleet.nodes.3.count": 1}}, "3 is not an index of a list of 1: must be 0 to 0"},
		"not a table": {experiment.Day{Set: map[string]any{"length.x": 1}}, "neither a table nor a list"},
		"bad value":   {experiment.Day{Set: map[string]any{"proxies.count": int64(99)}}, "proxies.count = 99: 1 to 40 is needed"},
		"its own":     {experiment.Day{Daemon: map[string]any{"rpc.idle": "1s"}}, "the daemon rejected its settings: daemon:2: rpc.idle is wrong"},
		"plain's":     {experiment.Day{Arm: experiment.Arm{Baseline: "random"}, Daemon: map[string]any{"rpc.idle": "20s"}}, "no settings of its own"},
		"plain's rpc": {experiment.Day{Arm: experiment.Arm{Baseline: "random"}, Set: map[string]any{"classes.0.protocol": "rpc"}}, "supports HTTP only"},
	} {
		if _, err := p.Check(c.day); err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v, want %s", key, err, c.want)
		}
	}
}

// Playing a day gives a result whose figures all have names that an experiment file may ask for.
func TestPlay(t *testing.T) {
	t.Parallel()
	r, err := player(t, "proxy").Play(t.Context(), experiment.Day{}, 3)
	if err != nil || r.Failed != "" || len(r.Seconds) == 0 || r.Schedule == "" {
		t.Fatalf("%+v, %v", r, err)
	}
	for name := range r.Figures {
		if !experiment.KnownFigure(name) {
			t.Errorf("%s is not a known figure", name)
		}
	}
	if s := r.Figures["service"]; s <= 0 || s > 1 || r.Figures["class.lot-list"] <= 0 || r.Figures["tries"] < 1 {
		t.Errorf("%v", r.Figures)
	}
}

// A daemon that does not start gives a failed run; a cancelled run gives an error.
func TestPlayFailureAndCancellation(t *testing.T) {
	t.Parallel()
	r, err := player(t, "never").Play(t.Context(), experiment.Day{}, 3)
	if err != nil || r.Failed == "" || strings.Contains(r.Failed, "\n") {
		t.Errorf("%+v, %v", r, err)
	}
	ctx, stop := context.WithCancel(t.Context())
	stop()
	if _, err := player(t, "proxy").Play(ctx, experiment.Day{}, 3); !errors.Is(err, context.Canceled) {
		t.Errorf("cancelled: %v", err)
	}
}
