// Package days plays an experiment's days with the rehearsal kit. It owns how a day's settings are merged into a
// scenario, and the names of the figures in a report. It stores and evaluates nothing.
package days

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"marlreel/internal/experiment"
	"marlreel/internal/rehearsal"
)

// overhead is the time that a run takes in addition to its length, to start and stop nodes and proxies.
const overhead = 3 * time.Second

// Player plays days with real processes on this machine.
type Player struct {
	// Text returns the path and text of the scenario that an experiment names.
	Text func(scenario string) (path string, text []byte, err error)
	// Command returns the command that starts an arm's proxy, and the proxy's name.
	Command  func(a experiment.Arm) (command []string, name string, err error)
	Scenario string
	Progress func(rehearsal.Progress)
}

// scenario merges a day's settings into the scenario, and returns it with its full text.
func (p *Player) scenario(d experiment.Day) (*rehearsal.Scenario, string, error) {
	path, text, err := p.Text(p.Scenario)
	if err != nil {
		return nil, "", err
	}
	var all map[string]any
	if err := toml.Unmarshal(text, &all); err != nil {
		// The kit's own error is better, as it names the line.
		if _, err := rehearsal.Parse(path, text); err != nil {
			return nil, "", err
		}
		return nil, "", fmt.Errorf("%s: %w", path, err)
	}
	keys := make([]string, 0, len(d.Set))
	for k := range d.Set {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	for _, k := range keys {
		if err := setAtPath(all, strings.Split(k, "."), d.Set[k]); err != nil {
			return nil, "", fmt.Errorf("%s: %w", k, err)
		}
	}
	if len(d.Daemon) > 0 {
		own := map[string]any{}
		for k, v := range d.Daemon {
			if err := setAtPath(own, strings.Split(k, "."), v); err != nil {
				return nil, "", fmt.Errorf("daemon.%s: %w", k, err)
			}
		}
		if err := setAtPath(all, []string{"proxies", "own"}, own); err != nil {
			return nil, "", err
		}
	}
	if _, named := all["name"]; !named {
		all["name"] = strings.TrimSuffix(filepath.Base(path), ".toml")
	}
	whole, err := toml.Marshal(all)
	if err != nil {
		return nil, "", fmt.Errorf("%s: %w", path, err)
	}
	s, err := rehearsal.Parse(path+" (merged)", whole)
	return s, string(whole), err
}

// setAtPath sets a value in nested tables and lists. A path element for a list is an index, from 0.
func setAtPath(in any, path []string, v any) error {
	key := path[0]
	switch at := in.(type) {
	case map[string]any:
		if len(path) == 1 {
			at[key] = v
			return nil
		}
		if at[key] == nil {
			at[key] = map[string]any{}
		}
		return setAtPath(at[key], path[1:], v)
	case []any:
		n, err := strconv.Atoi(key)
		if err != nil || n < 0 || n >= len(at) {
			return fmt.Errorf("%s is not an index of a list of %d: must be 0 to %d", key, len(at), len(at)-1)
		}
		if len(path) == 1 {
			at[n] = v
			return nil
		}
		return setAtPath(at[n], path[1:], v)
	}
	return fmt.Errorf("can't set %s in a value that is neither a table nor a list", key)
}

// Check implements experiment.Player.
func (p *Player) Check(d experiment.Day) (experiment.Checked, error) {
	s, text, err := p.scenario(d)
	if err != nil {
		return experiment.Checked{}, err
	}
	if d.Arm.Baseline != "" && s.RPC() {
		return experiment.Checked{}, fmt.Errorf("the plain proxy supports HTTP only, but %s has rpc classes", s.Name)
	}
	if d.Arm.Baseline != "" && len(s.Proxies.Own) > 0 {
		return experiment.Checked{}, errors.New("the plain proxy has no settings of its own, but proxies.own sets some")
	}
	command, _, err := p.Command(d.Arm)
	if err != nil {
		return experiment.Checked{}, err
	}
	build, err := digest(command[0])
	if err != nil {
		return experiment.Checked{}, err
	}
	if len(s.Proxies.Own) > 0 {
		if err := checkOwn(command, s); err != nil {
			return experiment.Checked{}, err
		}
	}
	return experiment.Checked{Length: s.Length.D() + overhead, Scenario: text, Build: build}, nil
}

// checkOwn has the daemon check its own settings, with --check.
func checkOwn(command []string, s *rehearsal.Scenario) error {
	f, err := os.CreateTemp("", "rehearse-*.toml")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name())
	_, err = io.WriteString(f, s.OwnFile(0, "127.0.0.1:0", "", os.TempDir(), nil))
	if err = errors.Join(err, f.Close()); err != nil {
		return err
	}
	// The daemon must not see a platform configuration in this process's environment.
	ctx, done := context.WithTimeout(context.Background(), 10*time.Second)
	defer done()
	c := exec.CommandContext(ctx, command[0], append(slices.Clone(command[1:]), "--check", "--config", f.Name())...)
	c.Env = slices.DeleteFunc(os.Environ(), func(v string) bool { return strings.HasPrefix(v, "NODE_") })
	if out, err := c.CombinedOutput(); err != nil {
		said, _, _ := strings.Cut(strings.TrimSpace(strings.ReplaceAll(string(out), f.Name(), "daemon")), "\n")
		return fmt.Errorf("the daemon rejected its settings: %s", said)
	}
	return nil
}

// digest returns the SHA-256 of a file, in hex.
func digest(path string) (string, error) {
	f, err := os.Open(path)
	if err != nil {
		return "", err
	}
	defer f.Close()
	h := sha256.New()
	if _, err := io.Copy(h, f); err != nil {
		return "", err
	}
	return hex.EncodeToString(h.Sum(nil)), nil
}

// Play implements experiment.Player.
func (p *Player) Play(ctx context.Context, d experiment.Day, seed uint64) (experiment.Result, error) {
	s, _, err := p.scenario(d)
	if err != nil {
		return experiment.Result{}, err
	}
	command, name, err := p.Command(d.Arm)
	if err != nil {
		return experiment.Result{}, err
	}
	rep, err := rehearsal.Run(ctx, s, rehearsal.Options{Seed: seed, Command: command, Name: name, Progress: p.Progress})
	switch {
	case ctx.Err() != nil:
		return experiment.Result{}, context.Cause(ctx)
	case errors.Is(err, rehearsal.ErrDescriptors):
		return experiment.Result{}, err // every other run would fail in the same way
	case err != nil:
		return experiment.Result{Failed: err.Error()}, nil
	}
	return Result(rep), nil
}

// Result converts a report to a result, with the figure names that experiments use.
func Result(rep *rehearsal.Report) experiment.Result {
	r := experiment.Result{
		Void: rep.Void, Crashes: rep.Crashes, Schedule: rep.Schedule, LateMs: rep.GeneratorMs, KitCPU: rep.Kit.CPU,
		Broken: rep.Rules.Lost + rep.Rules.Duplicated + rep.Rules.Drains + rep.Rules.Cold + rep.Rules.Settings,
	}
	cpu, memory := 0.0, 0.0
	for _, u := range rep.Proxies {
		cpu, memory = cpu+u.CPU, max(memory, u.MemoryMB)
	}
	n := float64(max(rep.Requests, 1))
	r.Figures = map[string]float64{
		"service": rep.Service, "after-deductions": rep.After, "whole": rep.Parts.Whole, "worst-10s": rep.Parts.Window,
		"worst-class": rep.Parts.Class, "worst-house": rep.Parts.House, "attempts": float64(rep.Attempts) / n, "tries": float64(rep.Tries) / n,
		"handshakes": float64(rep.Handshakes), "cpu-s": cpu, "memory-mb": memory, "rules-broken": float64(r.Broken),
	}
	if rep.Best != nil {
		r.Figures["area"] = rep.Best.Area
	}
	if rep.Recovery != nil && *rep.Recovery >= 0 {
		r.Figures["recovery-s"] = *rep.Recovery
	}
	for name, c := range rep.Classes {
		r.Figures["class."+name], r.Figures["class."+name+".p99-ms"] = c.Service, c.P99
	}
	for _, w := range rep.Timeline.Seconds {
		r.Seconds = append(r.Seconds, experiment.Second{Asked: w.Asked, Served: w.Served})
	}
	return r
}
