// Package staleness discounts the learned state of an earlier process before the next one resumes it: how old it is,
// whether its age can be known at all, and how much of it still counts.
//
// The package is pure. It neither reads the file (internal/process/learnedstate/statefile) nor applies the state, and
// no promise to clients depends on it: a proxy without learned state keeps them all.
package staleness

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"marlreel/internal/balancer/portablemath"
	"marlreel/internal/process/learnedstate"
)

// Timestamp is a time by two clocks: the wall clock, which may be set, and the machine's uptime, which only goes
// forward and starts again when the machine does.
//
// The json tags are the names under which 'marlreel state show --json' prints the fields.
type Timestamp struct {
	Wall   time.Time
	BootID string        `json:"Boot"` // identifies a boot of the machine; "": unknown
	Uptime time.Duration `json:"Up"`   // since that boot
}

// Errors of Age.
var (
	ErrUptimeWentBack = errors.New("it was written later in this machine's life than now")
	ErrNoTimestamp    = errors.New("it does not say when it was written")
)

// ClockSetBackError reports a time of writing that is after now by the wall clock.
type ClockSetBackError struct{ Ahead time.Duration }

var _ error = (*ClockSetBackError)(nil)

// Error implements error.
func (e *ClockSetBackError) Error() string {
	return fmt.Sprintf("it was written %v after now: a clock was set back", e.Ahead.Round(time.Second))
}

// Age returns how long before now a process ended, 0 or more. If neither clock can tell, or the wall clock has been set
// back, it returns an error (ErrUptimeWentBack, ErrNoTimestamp, ClockSetBackError): a state of unknown age must not
// pass for a recent one.
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

// Config sets how fast learned state loses its weight.
type Config struct {
	MaxAge   time.Duration // beyond which nothing of the state counts
	HalfLife time.Duration // in which it loses half of its weight
}

// Discount returns what still counts of a state of the given age, and nil if nothing does. crashed says that the
// process did not shut down in order: then what it saved lacks the last seconds, in which things went wrong, and counts
// for half. s is not changed.
func Discount(cfg Config, s *learnedstate.State, age time.Duration, crashed bool) *learnedstate.State {
	if age > cfg.MaxAge || age < 0 {
		return nil
	}
	weight := portablemath.Exp(-math.Ln2 * age.Seconds() / cfg.HalfLife.Seconds())
	if crashed {
		weight /= 2
	}
	discounted := *s
	// Scaling the sums of a fit leaves its line as it is, but makes it count for fewer points, so that what this
	// process observes soon outweighs it.
	discounted.Classes = slices.Clone(s.Classes)
	for i := range discounted.Classes {
		c := &discounted.Classes[i]
		for k := range c.DelayFit {
			c.DelayFit[k] *= weight
		}
		c.DelayTail[0] *= weight
		c.Served *= weight
	}
	discounted.Backends = slices.Clone(s.Backends)
	limit := medianOf(discounted.Backends, func(b *learnedstate.Backend) float64 { return b.ConcurrencyLimit })
	for i := range discounted.Backends {
		b := &discounted.Backends[i]
		// The limit moves towards the median, not towards 0: a backend about which nothing is known is like the others.
		if b.ConcurrencyLimit > 0 && limit > 0 {
			b.ConcurrencyLimit = limit + (b.ConcurrencyLimit-limit)*weight
		}
		b.DelayRatios *= weight
		b.Answers *= weight
		b.DelayTail[0] *= weight
		// An ejected backend is tried at once, by what costs least: a health check where there are any. The length of
		// its next ejection is kept, reduced with the age.
		b.EjectedFor = 0
		b.EjectionDuration = time.Duration(float64(b.EjectionDuration) * weight)
		// Saved warm-up tokens are dropped, because other proxies spent theirs in the meantime; a debt stays.
		b.WarmupTokens = min(b.WarmupTokens, 0)
	}
	discounted.Common.RetryTokens = min(s.Common.RetryTokens, s.Common.RetryTokens*weight)
	discounted.Common.MeanWindow *= weight
	return &discounted
}

// medianOf returns the median of a value over the backends that have it; 0: none has.
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
