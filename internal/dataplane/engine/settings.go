package engine

import (
	"fmt"
	"time"

	"marlreel/internal/balancer"
)

// maxClasses bounds the classes, those that have gone and are remembered among them.
const maxClasses = 64

// SettingsSnapshot is what fronts read requests by: the settings in force, and the numbers of names.
// It is never changed.
type SettingsSnapshot struct {
	// Settings is what the module is told: a class that has left the settings stays under
	// its number, as it was last, and is not in Classes.
	Settings                    *balancer.Config
	ClassIndexes, TenantIndexes map[string]int
}

// SettingsSnapshot is the one in force. Any goroutine may call it.
func (e *Engine) SettingsSnapshot() *SettingsSnapshot { return e.snapshot.Load() }

// Settings is what the module is told now. Any goroutine may call it; what it gives is
// never changed.
func (e *Engine) Settings() *balancer.Config { return e.snapshot.Load().Settings }

// publishSettings makes a book and puts it in force.
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

// meansTheSame tells whether a call that was read by an older book means the same by the one
// in force. Danger: one that was let through as safe to repeat must not run as one that is
// not, nor as a keyed one without its key.
func (e *Engine) meansTheSame(c *Call) bool {
	now := e.snapshot.Load()
	if c.Snapshot == nil || c.Snapshot == now {
		return true
	}
	is, was := &now.Settings.Classes[c.Class], &c.Snapshot.Settings.Classes[c.Class]
	return is.Name == was.Name && is.Effect == was.Effect && tenantName(now, c.Tenant) == tenantName(c.Snapshot, c.Tenant)
}

// tenantName is the name of a tenant by its place, or "".
func tenantName(b *SettingsSnapshot, index int) string {
	if index < 0 || index >= len(b.Settings.Tenants) {
		return ""
	}
	return b.Settings.Tenants[index].Name
}

// Reconfigure puts other settings in force, whole and at once, or leaves the old ones and
// says why. Calls that are open keep the class they came with. Only on the engine's
// goroutine.
func (e *Engine) Reconfigure(next balancer.Config) error {
	old := e.Settings()
	names := make([]string, len(next.Classes))
	for i, c := range next.Classes {
		names[i] = c.Name
	}
	trial := *e.classes // Place leaves what it has and makes a new one
	at, fresh, err := trial.Assign(e.Now(), names, e.classOpen)
	if err != nil {
		return fmt.Errorf("settings: Services: %w", err)
	}
	merged := make([]balancer.Class, trial.Len())
	copy(merged, old.Classes)
	for k, i := range at {
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

// classOpen tells whether a call of a class is open.
func (e *Engine) classOpen(class int) bool {
	for _, c := range e.calls {
		if c.Class == class {
			return true
		}
	}
	return false
}

// defaultRetryAfter is what is said to clients that are turned away before the module hears of them.
const defaultRetryAfter = time.Second

// RetryAfter is after what time who is turned away at the door should come again, as far as the
// settings let it be told; 0 is not to be told. Any goroutine may call it.
func (e *Engine) RetryAfter() time.Duration {
	caps := &e.Settings().Caps
	if !caps.RetryAfter {
		return 0
	}
	return min(defaultRetryAfter, caps.MaxRetryAfter)
}

func longestClientTimeout(s *balancer.Config) time.Duration {
	longest := time.Duration(0)
	for _, c := range s.Classes {
		longest = max(longest, c.ClientTimeout)
	}
	return longest
}
