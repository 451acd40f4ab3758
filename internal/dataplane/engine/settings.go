package engine

import (
	"errors"
	"fmt"
	"time"

	"marlreel/internal/balancer"
	"marlreel/internal/balancer/stableindex"
)

// maxClasses is the initial capacity of the table of classes, which includes removed classes that still have their
// index. The table grows if settings need more.
const maxClasses = 64

// SettingsSnapshot holds the settings that fronts use to parse requests, and the indexes of names in them. It is
// immutable.
type SettingsSnapshot struct {
	// Settings are those of the balancer. A removed class keeps its index and its last settings here, but is not in
	// ClassIndexes.
	Settings                    *balancer.Config
	ClassIndexes, TenantIndexes map[string]int
}

// SettingsSnapshot returns the snapshot in force. Any goroutine may call it.
func (e *Engine) SettingsSnapshot() *SettingsSnapshot { return e.snapshot.Load() }

// Settings returns the settings in force, which are immutable. Any goroutine may call it.
func (e *Engine) Settings() *balancer.Config { return e.snapshot.Load().Settings }

// publishSettings puts a snapshot of settings in force.
func (e *Engine) publishSettings(settings *balancer.Config) {
	snapshot := &SettingsSnapshot{Settings: settings, ClassIndexes: map[string]int{}, TenantIndexes: map[string]int{}}
	for i, c := range settings.Classes {
		if !e.classes.Removed(i) {
			snapshot.ClassIndexes[c.Name] = i
		}
	}
	for i, t := range settings.Tenants {
		snapshot.TenantIndexes[t.Name] = i
	}
	e.snapshot.Store(snapshot)
}

// sameMeaning reports whether a call that was parsed with an older snapshot has the same meaning in the one in force. A
// call that was parsed as idempotent must not run as one that is not, nor as a keyed one without its key.
func (e *Engine) sameMeaning(c *Call) bool {
	inForce := e.snapshot.Load()
	if c.Snapshot == nil || c.Snapshot == inForce {
		return true
	}
	current, original := &inForce.Settings.Classes[c.Class], &c.Snapshot.Settings.Classes[c.Class]
	return current.Name == original.Name && current.Effect == original.Effect &&
		tenantName(inForce, c.Tenant) == tenantName(c.Snapshot, c.Tenant)
}

// tenantName returns the name of the tenant with an index, or "".
func tenantName(snapshot *SettingsSnapshot, index int) string {
	if index < 0 || index >= len(snapshot.Settings.Tenants) {
		return ""
	}
	return snapshot.Settings.Tenants[index].Name
}

// Reconfigure atomically replaces the settings, or keeps the old ones and returns an error that names the invalid
// field. Open calls keep their class. Only on the engine's goroutine.
func (e *Engine) Reconfigure(next balancer.Config) error {
	old := e.Settings()
	trial, indexes, reused, err := e.assignClasses(classNames(next.Classes))
	if err != nil {
		return fmt.Errorf("settings: Services: %w", err)
	}
	merged := make([]balancer.Class, trial.Len())
	copy(merged, old.Classes)
	for k, i := range indexes {
		merged[i] = next.Classes[k]
	}
	next.Classes = merged
	if err := e.balancer.Reconfigure(e.Now(), next, reused, trial.Removed); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	*e.classes = trial
	e.publishSettings(&next)
	e.recentIDs.span = max(e.recentIDs.span, longestClientTimeout(&next)+time.Second)
	return nil
}

// assignClasses assigns indexes to classes in a copy of the table, which it grows if needed. Removed classes keep their
// index for a while, so that several changes in quick succession need more room than any single one of them.
func (e *Engine) assignClasses(names []string) (trial stableindex.Table, indexes, reused []int, err error) {
	trial = *e.classes // a shallow copy is enough: Assign replaces its contents and does not modify them
	indexes, reused, err = trial.Assign(e.Now(), names, e.classOpen)
	if full := new(stableindex.FullError); errors.As(err, &full) {
		trial.Grow(full.MaxLen + len(names))
		indexes, reused, err = trial.Assign(e.Now(), names, e.classOpen)
	}
	return trial, indexes, reused, err
}

// classOpen reports whether a call of a class is open.
func (e *Engine) classOpen(class int) bool {
	for _, c := range e.calls {
		if c.Class == class {
			return true
		}
	}
	return false
}

// defaultRetryAfter is the Retry-After of calls that are rejected before they reach the balancer.
const defaultRetryAfter = time.Second

// RetryAfter returns the Retry-After of calls that are rejected before they reach the balancer, or 0 if the settings
// disable it. Any goroutine may call it.
func (e *Engine) RetryAfter() time.Duration {
	caps := &e.Settings().Caps
	if !caps.RetryAfter {
		return 0
	}
	return min(defaultRetryAfter, caps.MaxRetryAfter)
}

func classNames(classes []balancer.Class) []string {
	names := make([]string, len(classes))
	for i, c := range classes {
		names[i] = c.Name
	}
	return names
}

func longestClientTimeout(s *balancer.Config) time.Duration {
	longest := time.Duration(0)
	for _, c := range s.Classes {
		longest = max(longest, c.ClientTimeout)
	}
	return longest
}
