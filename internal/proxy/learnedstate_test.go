package proxy

import (
	"bufio"
	"context"
	"errors"
	"log"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"marlreel/internal/balancer/staleness"
	"marlreel/internal/config"
	"marlreel/internal/process/learnedstate"
	"marlreel/internal/process/learnedstate/codec"
	"marlreel/internal/process/learnedstate/statefile"
	"marlreel/internal/stricttoml"
	"marlreel/internal/testutil"
)

func withStateDir(t *testing.T, dir string) *config.Operator {
	t.Helper()
	own := config.DefaultOperator()
	own.LearnedState.Dir, own.LearnedState.SaveInterval = dir, stricttoml.Duration(100*time.Millisecond)
	return own
}

// A restarted proxy restores the learned state of the previous process, after a shutdown and after a kill.
func TestRestartRestoresLearnedState(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	cfg := testConfig(t, closedAddr(t), ready("s-1", named(t, "one")))
	p := startWith(t, cfg, withStateDir(t, dir))
	for range 30 {
		do(t, newRequest(t, p, "bid", "x"))
	}
	path := statefile.Open(dir, cfg.Name).Path()
	knows := func() *statefile.Record {
		r, err := statefile.Open(dir, cfg.Name).Load()
		if err != nil || r == nil || len(r.State.Backends) < 1 || r.State.Common.MeanWindow == 0 {
			return nil
		}
		return r
	}
	eventually(t, "saved state of the node", func() bool { return knows() != nil })
	if r := knows(); r == nil || r.ShutDown {
		t.Errorf("%+v", r)
	}
	crashed, err := os.ReadFile(path) // the file that a kill would leave
	if err != nil {
		t.Fatal(err)
	}
	p.stop()
	receive(t, p.ended, "the end")
	if r := knows(); r == nil || !r.ShutDown {
		t.Errorf("after a stop: %+v", r)
	}
	again := startWith(t, cfg, withStateDir(t, dir))
	eventually(t, "the saved state to be restored", func() bool {
		return strings.Contains(again.log.String(), "memory: restored the saved state: 1 backends and 3 classes")
	})
	servedBy(t, again, "one")
	again.stop()
	receive(t, again.ended, "the end")
	if err := os.WriteFile(path, crashed, 0o600); err != nil {
		t.Fatal(err)
	}
	third := startWith(t, cfg, withStateDir(t, dir))
	eventually(t, "the state from before the kill to be restored", func() bool { return strings.Contains(third.log.String(), "restored the saved state") })
	servedBy(t, third, "one")
}

// If the state file or its directory is unusable, the proxy logs one line and serves without it.
func TestMemoriesThatAreNone(t *testing.T) {
	t.Parallel()
	good := func(of string, age time.Duration) []byte {
		state, err := codec.Encode(&learnedstate.State{ProxyName: of, TakenAt: time.Now()})
		if err != nil {
			t.Fatal(err)
		}
		data, err := statefile.Encode(staleness.Timestamp{Wall: time.Now().Add(-age)}, false, state)
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	damaged := good("n0", 0)
	damaged[len(damaged)-1] ^= 1
	for name, c := range map[string]struct {
		data []byte
		want string
	}{
		"damaged":         {damaged, "it is damaged"},
		"another proxy":   {good("n7", 0), `it belongs to proxy "n7", and this is "n0"`},
		"too old":         {good("n0", time.Hour), " old, and the maximum is 10m0s"},
		"from the future": {good("n0", -time.Hour), "a clock was set back"},
		"empty":           {nil, "does not begin as a MRST file does"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			if err := os.WriteFile(statefile.Open(dir, "n0").Path(), c.data, 0o600); err != nil {
				t.Fatal(err)
			}
			p := startWith(t, testConfig(t, closedAddr(t), ready("s-1", named(t, "one"))), withStateDir(t, dir))
			servedBy(t, p, "one")
			if got := p.log.String(); !strings.Contains(got, c.want) || strings.Contains(got, "restored the ") {
				t.Errorf("%s", got)
			}
			eventually(t, "a state file of its own", func() bool {
				r, err := statefile.Open(dir, "n0").Load()
				return err == nil && r != nil && r.State.ProxyName == "n0" && len(r.State.Backends) > 0
			})
		})
	}
	t.Run("no directory", func(t *testing.T) {
		t.Parallel()
		p := startWith(t, testConfig(t, closedAddr(t), ready("s-1", named(t, "one"))), withStateDir(t, filepath.Join(t.TempDir(), "not", "there")))
		servedBy(t, p, "one")
		eventually(t, "a log line", func() bool { return strings.Contains(p.log.String(), "memory: state not saved: open ") })
		time.Sleep(300 * time.Millisecond)
		if n := strings.Count(p.log.String(), "memory: state not saved"); n != 1 {
			t.Errorf("it is logged %d times", n)
		}
	})
}

// Guards against a fault: if the last requests had failed and no others followed, the state was no longer saved.
func TestStateIsSavedWhenIdleAfterFailures(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	ends := rawBackend(t, func(c net.Conn, in *bufio.Reader) {
		readRequest(in)
		c.Close()
	})
	p := startWith(t, testConfig(t, closedAddr(t), ready("s-1", ends)), withStateDir(t, dir))
	eventually(t, "many failures and retries", func() bool {
		do(t, newRequest(t, p, "bid", "x"))
		return strings.Contains(p.log.String(), "storm, after")
	})
	silentSince := time.Now()
	eventually(t, "the state to be saved without further requests", func() bool {
		r, err := statefile.Open(dir, "n0").Load()
		return err == nil && r != nil && r.WrittenAt.Wall.After(silentSince.Add(time.Second))
	})
}

// A slow disk and a failing one are each logged once, and so is the recovery.
func TestSlowDisks(t *testing.T) {
	t.Parallel()
	state, err := codec.Encode(&learnedstate.State{ProxyName: "n0", TakenAt: time.Now()})
	if err != nil {
		t.Fatal(err)
	}
	var lines testutil.LockedLog
	wall := time.Now()
	slow, broken := time.Duration(0), error(nil)
	k := &saver{
		store: statefile.Open(t.TempDir(), "n0"), every: time.Second, logf: log.New(&lines, "", 0).Printf,
		now:   func() staleness.Timestamp { return staleness.Timestamp{Wall: wall} },
		state: func(context.Context) ([]byte, error) { wall = wall.Add(slow); return state, broken },
	}
	for _, step := range []struct {
		slow   time.Duration
		broken error
		says   string
	}{
		{0, nil, ""},
		{3 * time.Second, nil, "longer than the interval of"},
		{4 * time.Second, nil, ""},
		{0, nil, ""},
		{2 * time.Second, nil, "longer than the interval of"},
		{0, errors.New("no space left on device"), "state not saved: no space left on device"},
		{0, errors.New("no space left on device"), ""},
		{0, nil, "saved again"},
	} {
		slow, broken = step.slow, step.broken
		before := len(lines.String())
		k.save(t.Context(), false)
		if got := lines.String()[before:]; step.says == "" && got != "" || !strings.Contains(got, step.says) {
			t.Errorf("%+v: %q", step, got)
		}
	}
}
