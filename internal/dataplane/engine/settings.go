package engine

import (
	"errors"
	"fmt"
	"time"

	"marlreel/internal/balancer"
	"marlreel/internal/balancer/stableindex"
)

// maxClasses is how many classes there is room for at first, including those that have been removed and are remembered.
// Settings with more make more room.
const maxClasses = 64

// SettingsSnapshot is what fronts parse requests by: the settings in force, and the indexes of names in them. It is
// immutable.
type SettingsSnapshot struct {
	// Settings are the balancer's: a class that was removed keeps its index, as it was last, and is not in
	// ClassIndexes.
	Settings                    *balancer.Config
	ClassIndexes, TenantIndexes map[string]int
}

// SettingsSnapshot gives the one in force. Any goroutine may call it.
func (e *Engine) SettingsSnapshot() *SettingsSnapshot { return e.snapshot.Load() }

// Settings are the balancer's settings now. Any goroutine may call it; what it gives is immutable.
func (e *Engine) Settings() *balancer.Config { return e.snapshot.Load().Settings }

// publishSettings puts a snapshot of settings in force.
func (e *Engine) publishSettings(settings *balancer.Config) {
	b := &SettingsSnapshot{Settings: settings, ClassIndexes: map[string]int{}, TenantIndexes: map[string]int{}}
	for i, c := range settings.Classes {
		if !e.classes.Removed(i) {
			b.ClassIndexes[c.Name] = i
		}
	}
	for i, t := range settings.Tenants {
		b.TenantIndexes[t.Name] = i
	}
	e.snapshot.Store(b)
}

// meansTheSame tells whether a call that was parsed by an older snapshot means the same by the one in force. A call
// that was admitted as idempotent must not run as one that is not, nor as a keyed one without its key.
func (e *Engine) meansTheSame(c *Call) bool {
	now := e.snapshot.Load()
	if c.Snapshot == nil || c.Snapshot == now {
		return true
	}
	is, was := &now.Settings.Classes[c.Class], &c.Snapshot.Settings.Classes[c.Class]
	return is.Name == was.Name && is.Effect == was.Effect && tenantName(now, c.Tenant) == tenantName(c.Snapshot, c.Tenant)
}

// tenantName is the name of a tenant by its index, or "".
func tenantName(b *SettingsSnapshot, index int) string {
	if index < 0 || index >= len(b.Settings.Tenants) {
		return ""
	}
	return b.Settings.Tenants[index].Name
}

// Reconfigure puts other settings in force, all at once, or leaves the old ones and returns an error that names the
// field at fault. Calls that are open keep the class they came with. Only on the engine's goroutine.
func (e *Engine) Reconfigure(next balancer.Config) error {
	old := e.Settings()
	trial, indexes, fresh, err := e.assignClasses(classNames(next.Classes))
	if err != nil {
		return fmt.Errorf("settings: Services: %w", err)
	}
	merged := make([]balancer.Class, trial.Len())
	copy(merged, old.Classes)
	for k, i := range indexes {
		merged[i] = next.Classes[k]
	}
	next.Classes = merged
	if err := e.balancer.Reconfigure(e.Now(), next, fresh, trial.Removed); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	*e.classes = trial
	e.publishSettings(&next)
	e.recentNames.span = max(e.recentNames.span, longestClientTimeout(&next)+time.Second)
	return nil
}

// assignClasses gives classes their indexes, in a copy of the table that has room for them all. Those that have just been
// removed keep theirs for a while, so that changes in quick succession need more room than each of them has classes.
func (e *Engine) assignClasses(names []string) (trial stableindex.Table, indexes, fresh []int, err error) {
	trial = *e.classes // Assign leaves what it has and makes a new one
	indexes, fresh, err = trial.Assign(e.Now(), names, e.classOpen)
	if full := new(stableindex.FullError); errors.As(err, &full) {
		trial.Grow(full.MaxLen + len(names))
		indexes, fresh, err = trial.Assign(e.Now(), names, e.classOpen)
	}
	return trial, indexes, fresh, err
}

// classOpen tells whether a call of a class is open.
func (e *Engine) classOpen(class int) bool {
	for _, c := range e.calls {
		if c.Class == class {
			return true
		}
	}
	return false
}

// defaultRetryAfter is what clients are told that are rejected before the balancer hears of them.
const defaultRetryAfter = time.Second

// RetryAfter is the Retry-After of clients that are rejected before the balancer hears of them; 0 where the settings
// let none be sent. Any goroutine may call it.
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
