package rehearsal

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"marlreel/internal/standin"
)

// The kit's part of scenarios whose proxies agree: the ways between them, and what the audit asks of them beyond what
// each was told itself.

const (
	fleetKey = "fleet.key"
	fleetDir = ".fleet"
)

// enfleet puts a link between every two proxies, and a key where all find it.
func (w *world) enfleet() error {
	s := w.scenario
	if s.Proxies.Fleet.Keepers == 0 {
		return nil
	}
	var targets []string
	for n := range s.Proxies.Count {
		if err := os.RemoveAll(filepath.Join(w.dir, proxyName(n)+fleetDir)); err != nil { // of a run before into this folder
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

// split cuts some proxies from the others, or ends that.
func (w *world) split(e Event) {
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

// agreed checks what a fleet adds: when one proxy has taken a file that allows fewer attempts, none sends more that
// may run, after the time within which they agree, whatever it was told itself.
func (a *auditor) agreed(t *Try, sends []*standin.Send) {
	within := a.Scenario.Proxies.Fleet.Within.D()
	if a.Scenario.Proxies.Fleet.Keepers == 0 {
		return
	}
	runs, late := 0, (*standin.Send)(nil)
	for _, s := range sends {
		if runs > 0 { // an earlier one may have run
			late = s
		}
		if ran(s) {
			runs++
		}
		if late == nil {
			continue
		}
		most, since := a.mostAgreed(s.Began, within+socketSlack)
		if runs > most {
			a.found(RuleSettings, fmt.Sprintf("attempt %d, and the fleet had agreed on %d", runs, most), t, s.Node, s.Began, since)
			return
		}
	}
}

// mostAgreed is the most attempts that any settings allow which the fleet may still go by at a time: those that were
// replaced less than within ago, and since when the last ones have been agreed on.
func (a *auditor) mostAgreed(at, within time.Duration) (most int, since time.Duration) {
	most = a.Scenario.Rules.MaxAttempts
	taken := slices.DeleteFunc(slices.Clone(a.Reloads), func(r Reload) bool { return !r.Good || !r.Taken })
	slices.SortFunc(taken, func(x, y Reload) int { return int(x.TakenAt - y.TakenAt) })
	for _, r := range taken {
		switch {
		case at > r.TakenAt+within: // all before it are over
			most, since = r.Attempts, r.TakenAt
		case at >= r.At:
			most = max(most, r.Attempts)
		}
	}
	return most, since
}
