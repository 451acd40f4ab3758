package placement

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// typicalSlope is that of a deployment whose busy models get 30 requests a second and whose loads take 4 s.
const typicalSlope = 30.0 / 8

// follow feeds a trend with requests that come by chance at a rate that changes, until a time.
func follow(rng *rand.Rand, rate func(second float64) float64, until time.Duration) *trend {
	t := newTrend(0, -time.Minute, typicalSlope)
	const step = 10 * time.Millisecond
	for now := time.Duration(0); now < until; now += step {
		mean := rate(now.Seconds()) * step.Seconds()
		count := 0
		for product := rng.Float64(); product > math.Exp(-mean); product *= rng.Float64() {
			count++
		}
		if count > 0 {
			t.add(now, float64(count), typicalSlope)
		}
	}
	t.advance(until, typicalSlope)
	return t
}

// mean is that of a figure over many draws.
func mean(figure func(rng *rand.Rand) float64) float64 {
	const draws = 200
	sum := 0.0
	for seed := range uint64(draws) {
		sum += figure(rand.New(rand.NewPCG(seed, 1)))
	}
	return sum / draws
}

func TestASteadyRateIsFollowed(t *testing.T) {
	is := is.New(t)
	steady := func(float64) float64 { return 30 }
	level := mean(func(rng *rand.Rand) float64 { return follow(rng, steady, 20*time.Second).level })
	ahead := mean(func(rng *rand.Rand) float64 { return follow(rng, steady, 20*time.Second).at(5 * time.Second) })
	is.True(math.Abs(level-30) < 1)
	is.True(math.Abs(ahead-30) < 2.5) // no rise is foretold, nor a fall
}

// Nobody asks for a model, and eight seconds later it is one of the busy ones. Half way there more is foretold for
// when a load would be done than is asked for by then; chance alone allows no more (at 11 s four requests have come).
func TestARiseFromNothingIsForetold(t *testing.T) {
	is := is.New(t)
	rise := func(second float64) float64 { return min(30, max(0, second-10)*30/8) }
	at := func(until time.Duration) float64 {
		return mean(func(rng *rand.Rand) float64 { return follow(rng, rise, until).at(5 * time.Second) })
	}
	is.True(at(12*time.Second) > 3)
	is.True(at(13*time.Second) > 10)
	is.True(at(14*time.Second) > 16) // 15 a second are asked for
	is.True(at(14*time.Second) < 30)
}

// A model that is asked for once in a while is not taken for one that begins to be busy.
func TestRareRequestsAreNoRise(t *testing.T) {
	is := is.New(t)
	rare := func(float64) float64 { return 0.15 }
	share := mean(func(rng *rand.Rand) float64 {
		if follow(rng, rare, 30*time.Second).at(5*time.Second) > 2 {
			return 1
		}
		return 0
	})
	is.True(share < 0.02)
}

func TestAFallIsForetold(t *testing.T) {
	is := is.New(t)
	fall := func(second float64) float64 { return max(0, min(60, 60-(second-10)*60/8)) }
	ahead := mean(func(rng *rand.Rand) float64 { return follow(rng, fall, 16*time.Second).at(5 * time.Second) })
	is.True(ahead < 12) // 15 are asked for by now
	gone := mean(func(rng *rand.Rand) float64 { return follow(rng, fall, 25*time.Second).at(5 * time.Second) })
	is.True(gone < 1)
}

// A planner that has just begun knows nothing of what was before it: the first requests are no rise.
func TestTheFirstRequestsOfAPlannerAreNoRise(t *testing.T) {
	is := is.New(t)
	ahead := mean(func(rng *rand.Rand) float64 {
		trend := newTrend(0, 0, typicalSlope)
		for now := time.Duration(0); now < 3*time.Second; now += binSpan {
			trend.add(now, 5+float64(rng.IntN(6)), typicalSlope) // 30 a second, about
		}
		return trend.at(5 * time.Second)
	})
	is.True(ahead > 20)
	is.True(ahead < 45)
}

func TestATrendThatNobodyLookedAtStartsAnew(t *testing.T) {
	is := is.New(t)
	trend := newTrend(0, 0, typicalSlope)
	trend.add(0, 100, typicalSlope)
	trend.advance(time.Hour, typicalSlope)
	is.Equal(trend.level, 0.0)
	is.Equal(trend.bin, time.Hour)
}
