package rehearsal

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"marlreel/internal/standin"
)

// Scenarios whose proxies agree on their settings: the links between the proxies, and the audit of what they agreed on.

const (
	fleetKey = "fleet.key"
	fleetDir = ".fleet"
)

// setUpFleet creates the links between all pairs of proxies, and the key file that they share.
func (w *testbed) setUpFleet() error {
	s := w.scenario
	if s.Proxies.Fleet.Keepers == 0 {
		return nil
	}
	var targets []string
	for n := range s.Proxies.Count {
		if err := os.RemoveAll(filepath.Join(w.dir, proxyName(n)+fleetDir)); err != nil { // left by an earlier run in this folder
			return fmt.Errorf("fleet: %w", err)
		}
		addr, err := standin.Address()
		if err != nil {
			return err
		}
		targets = append(targets, addr)
	}
	var err error
	if w.mesh, err = standin.NewMesh(targets, w.plan.Seed); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(w.dir, fleetKey), []byte(fmt.Sprintf("%032x", w.plan.Seed)), 0o600); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	return nil
}

// split separates some proxies from the others, or ends the separation.
func (w *testbed) split(e Event) {
	var others []int
	for n := range w.scenario.Proxies.Count {
		if !slices.Contains(e.Proxies, n) {
			others = append(others, n)
		}
	}
	if e.What == "split" {
		w.mesh.Split(e.Proxies, others)
	} else {
		w.mesh.Heal()
	}
}

// checkAgreedAttempts checks the limit of attempts in a fleet: once one proxy has applied a file with a lower limit, no proxy
// may exceed it after the time within which the fleet agrees, whatever file it got itself. Only attempts that may have
// run count.
func (a *auditor) checkAgreedAttempts(t *Try, sends []*standin.Send) {
	within := a.Scenario.Proxies.Fleet.Within.D()
	if a.Scenario.Proxies.Fleet.Keepers == 0 {
		return
	}
	runs, late := 0, (*standin.Send)(nil)
	for _, s := range sends {
		if runs > 0 { // an earlier attempt may have run
			late = s
		}
		if mayHaveRun(s) {
			runs++
		}
		if late == nil {
			continue
		}
		most, since := a.maxAgreedAttempts(s.Began, within+socketSlack)
		if runs > most {
			a.addBreak(RuleSettings, fmt.Sprintf("attempt %d, and the fleet had agreed on %d", runs, most), t, s.Node, s.Began, since)
			return
		}
	}
}

// maxAgreedAttempts returns the highest limit of attempts that may still be in force in the fleet at the given time. Settings
// stay in force until within after they were replaced. since is the time from which the limit has been agreed on.
func (a *auditor) maxAgreedAttempts(at, within time.Duration) (most int, since time.Duration) {
	most = a.Scenario.Rules.MaxAttempts
	taken := slices.DeleteFunc(slices.Clone(a.Reloads), func(r Reload) bool { return !r.Good || !r.Taken })
	slices.SortFunc(taken, func(x, y Reload) int { return int(x.TakenAt - y.TakenAt) })
	for _, r := range taken {
		switch {
		case at > r.TakenAt+within: // all settings before it are out of force
			most, since = r.Attempts, r.TakenAt
		case at >= r.At:
			most = max(most, r.Attempts)
		}
	}
	return most, since
}
