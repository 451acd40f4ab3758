// Package staleness judges what a proxy had learnt in an earlier life before it goes on with it: how long it was
// away, whether that can be known at all, and how much of what it knew still weighs anything. It is pure, and
// no rule rests on it: who is told nothing keeps them all.
package staleness

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"marlreel/internal/process/learnedstate"
)

// Timestamp is a time by two clocks: the wall's, which may be set, and the machine's since it was started, which
// only goes forward and ends with the machine.
type Timestamp struct {
	Wall   time.Time
	BootID string        // which start of the machine; "" is not known
	Uptime time.Duration // since then
}

// Age is how long a life that ended at one moment lies behind another. Where neither clock can tell, or the
// wall's has been set back, it is an error: what is of unknown age must not pass for young.
func Age(then, now Timestamp) (time.Duration, error) {
	if then.BootID != "" && then.BootID == now.BootID {
		if d := now.Uptime - then.Uptime; d >= 0 {
			return d, nil
		}
		return 0, errors.New("it was written later in this machine's life than now")
	}
	if then.Wall.IsZero() {
		return 0, errors.New("it does not say when it was written")
	}
	if d := now.Wall.Sub(then.Wall); d >= 0 {
		return d, nil
	}
	return 0, fmt.Errorf("it was written %v after now: a clock was set back", then.Wall.Sub(now.Wall).Round(time.Second))
}

// Config is how long what was learnt holds.
type Config struct {
	MaxAge   time.Duration // beyond which nothing of it is believed
	HalfLife time.Duration // in which it loses half its weight
}

// Discount gives what is still to be believed after a time away, and nil where nothing is. crashed says that the
// life did not end as told: then the last seconds of it, in which things went wrong, are not in what it knew,
// and it counts for half. s stays as it is.
func Discount(cfg Config, s *learnedstate.State, away time.Duration, crashed bool) *learnedstate.State {
	if away > cfg.MaxAge || away < 0 {
		return nil
	}
	weight := math.Exp2(-away.Seconds() / cfg.HalfLife.Seconds())
	if crashed {
		weight /= 2
	}
	out := *s
	// Sums of points weigh as many points as they have: fewer points, the same line. What is left is soon
	// outvoted by what this life sees.
	out.Classes = slices.Clone(s.Classes)
	for i := range out.Classes {
		c := &out.Classes[i]
		for k := range c.Line {
			c.Line[k] *= weight
		}
		c.Tail[0] *= weight
		c.Served *= weight
	}
	out.Backends = slices.Clone(s.Backends)
	limit := medianOf(out.Backends, func(b *learnedstate.Backend) float64 { return b.Limit })
	for i := range out.Backends {
		b := &out.Backends[i]
		// Towards what the others have, not towards nothing: a backend of which nothing is known is one of them.
		if b.Limit > 0 && limit > 0 {
			b.Limit = limit + (b.Limit-limit)*weight
		}
		b.Delays *= weight
		b.Answers *= weight
		b.Tail[0] *= weight
		// What was out is tried at once, by what costs least: a probe where there are any. How long it would
		// have to stay out after another failure is remembered, less the longer it was.
		b.Ejected = 0
		b.Hold = time.Duration(float64(b.Hold) * weight)
		// Danger: a cold budget that was saved up is not there after a time in which others spent theirs; a
		// debt is.
		b.Tokens = min(b.Tokens, 0)
	}
	out.Common.Retries = min(s.Common.Retries, s.Common.Retries*weight)
	out.Common.Over *= weight
	return &out
}

// medianOf is the median of a figure over the backends that have it; 0 is none.
func medianOf(all []learnedstate.Backend, of func(*learnedstate.Backend) float64) float64 {
	var x []float64
	for i := range all {
		if v := of(&all[i]); v > 0 {
			x = append(x, v)
		}
	}
	if len(x) == 0 {
		return 0
	}
	slices.Sort(x)
	return (x[(len(x)-1)/2] + x[len(x)/2]) / 2
}
