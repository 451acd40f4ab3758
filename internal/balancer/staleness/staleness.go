// Package staleness discounts the learned state of an earlier process before the next one goes on with it: how old it
// is, whether that can be known at all, and how much of it still counts.
//
// It is pure. It never reads the file (internal/process/learnedstate/statefile) nor puts anything in force, and no promise to clients
// rests on it: a proxy without learned state keeps them all.
package staleness

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"marlreel/internal/process/learnedstate"
)

// Timestamp is a time by two clocks: the wall clock, which may be set, and the machine's uptime, which
// only goes forward and ends with the machine.
//
// The json tags are the names under which 'marlreel state show --json' prints the fields.
type Timestamp struct {
	Wall   time.Time
	BootID string        `json:"Boot"` // identifies a start of the machine; "": not known
	Uptime time.Duration `json:"Up"`   // since that start
}

// Errors of Age.
var (
	ErrUptimeWentBack = errors.New("it was written later in this machine's life than now")
	ErrNoTimestamp    = errors.New("it does not say when it was written")
)

// ClockSetBackError is a time of writing that lies ahead by the wall clock.
type ClockSetBackError struct{ Ahead time.Duration }

var _ error = (*ClockSetBackError)(nil)

// Error implements error.
func (e *ClockSetBackError) Error() string {
	return fmt.Sprintf("it was written %v after now: a clock was set back", e.Ahead.Round(time.Second))
}

// Age is how long before now a process ended, 0 or more. Where neither clock can tell, or the wall clock has been set
// back, it is an error (ErrUptimeWentBack, ErrNoTimestamp, ClockSetBackError): what is of unknown age must not pass for
// young.
func Age(then, now Timestamp) (time.Duration, error) {
	if then.BootID != "" && then.BootID == now.BootID {
		if d := now.Uptime - then.Uptime; d >= 0 {
			return d, nil
		}
		return 0, ErrUptimeWentBack
	}
	if then.Wall.IsZero() {
		return 0, ErrNoTimestamp
	}
	if d := now.Wall.Sub(then.Wall); d >= 0 {
		return d, nil
	}
	return 0, &ClockSetBackError{then.Wall.Sub(now.Wall)}
}

// Config says how fast learned state loses its weight.
type Config struct {
	MaxAge   time.Duration // beyond which nothing of it counts
	HalfLife time.Duration // in which it loses half of its weight
}

// Discount gives what still counts of a state of an age, and nil where nothing does. crashed says that the process did
// not shut down in order: then the last seconds, in which things went wrong, are not in what it saved,
// and it counts for half. s stays as it is.
func Discount(cfg Config, s *learnedstate.State, age time.Duration, crashed bool) *learnedstate.State {
	if age > cfg.MaxAge || age < 0 {
		return nil
	}
	weight := math.Exp2(-age.Seconds() / cfg.HalfLife.Seconds())
	if crashed {
		weight /= 2
	}
	kept := *s
	// Sums of points weigh as many points as they have: fewer points, the same line. What is left is soon
	// outweighed by what this process sees.
	kept.Classes = slices.Clone(s.Classes)
	for i := range kept.Classes {
		c := &kept.Classes[i]
		for k := range c.DelayFit {
			c.DelayFit[k] *= weight
		}
		c.DelayTail[0] *= weight
		c.Served *= weight
	}
	kept.Backends = slices.Clone(s.Backends)
	limit := medianOf(kept.Backends, func(b *learnedstate.Backend) float64 { return b.ConcurrencyLimit })
	for i := range kept.Backends {
		b := &kept.Backends[i]
		// Towards what the others have, not towards nothing: a backend of which nothing is known is one of them.
		if b.ConcurrencyLimit > 0 && limit > 0 {
			b.ConcurrencyLimit = limit + (b.ConcurrencyLimit-limit)*weight
		}
		b.DelayRatios *= weight
		b.Answers *= weight
		b.DelayTail[0] *= weight
		// What was ejected is tried at once, by what costs least: a health check where there are any. How long its next
		// ejection would last is remembered, less the longer ago it was.
		b.EjectedFor = 0
		b.EjectionDuration = time.Duration(float64(b.EjectionDuration) * weight)
		// Warm-up tokens that were saved up are gone after a time in which other proxies spent theirs; a debt stays.
		b.WarmupTokens = min(b.WarmupTokens, 0)
	}
	kept.Common.RetryTokens = min(s.Common.RetryTokens, s.Common.RetryTokens*weight)
	kept.Common.MeanWindow *= weight
	return &kept
}

// medianOf is the median of a value over the backends that have it; 0 is none.
func medianOf(all []learnedstate.Backend, value func(*learnedstate.Backend) float64) float64 {
	var x []float64
	for i := range all {
		if v := value(&all[i]); v > 0 {
			x = append(x, v)
		}
	}
	if len(x) == 0 {
		return 0
	}
	slices.Sort(x)
	return (x[(len(x)-1)/2] + x[len(x)/2]) / 2
}
