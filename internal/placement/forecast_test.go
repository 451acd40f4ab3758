package placement

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// typicalSlopeDeviation is the slope deviation of a deployment whose busy models get 30 requests a second and whose
// loads take 4 s.
const typicalSlopeDeviation = 30.0 / 8

// simulateFilter returns a filter that was updated with Poisson arrivals at a varying rate, for a span.
func simulateFilter(rng *rand.Rand, rate func(second float64) float64, span time.Duration) *rateFilter {
	filter := newRateFilter(0, -time.Minute, typicalSlopeDeviation)
	const step = 10 * time.Millisecond
	for now := time.Duration(0); now < span; now += step {
		mean := rate(now.Seconds()) * step.Seconds()
		count := 0
		for product := rng.Float64(); product > math.Exp(-mean); product *= rng.Float64() {
			count++
		}
		if count > 0 {
			filter.observe(now, float64(count), typicalSlopeDeviation)
		}
	}
	filter.advanceTo(span, typicalSlopeDeviation)
	return filter
}

// mean returns the mean of a measurement over many random draws.
func mean(measure func(rng *rand.Rand) float64) float64 {
	const draws = 200
	sum := 0.0
	for seed := range uint64(draws) {
		sum += measure(rand.New(rand.NewPCG(seed, 1)))
	}
	return sum / draws
}

func TestForecastOfSteadyRate(t *testing.T) {
	is := is.New(t)
	steady := func(float64) float64 { return 30 }
	level := mean(func(rng *rand.Rand) float64 { return simulateFilter(rng, steady, 20*time.Second).rate })
	ahead := mean(func(rng *rand.Rand) float64 {
		return simulateFilter(rng, steady, 20*time.Second).forecast(5 * time.Second)
	})
	is.True(math.Abs(level-30) < 1)
	is.True(math.Abs(ahead-30) < 2.5) // neither a rise nor a fall is forecast
}

// A model's rate rises from 0 to that of a busy model within eight seconds. Half way, the forecast for the end of a load
// exceeds the present rate. Earlier forecasts must stay low because of noise: at 11 s only four requests have come.
func TestForecastOfRiseFromZero(t *testing.T) {
	is := is.New(t)
	rise := func(second float64) float64 { return min(30, max(0, second-10)*30/8) }
	forecastAt := func(span time.Duration) float64 {
		return mean(func(rng *rand.Rand) float64 { return simulateFilter(rng, rise, span).forecast(5 * time.Second) })
	}
	is.True(forecastAt(12*time.Second) > 3)
	is.True(forecastAt(13*time.Second) > 10)
	is.True(forecastAt(14*time.Second) > 16) // 15 requests a second come by then
	is.True(forecastAt(14*time.Second) < 30)
}

// Occasional requests for a model are not taken for the beginning of a rise.
func TestForecastIgnoresRareRequests(t *testing.T) {
	is := is.New(t)
	rare := func(float64) float64 { return 0.15 }
	share := mean(func(rng *rand.Rand) float64 {
		if simulateFilter(rng, rare, 30*time.Second).forecast(5*time.Second) > 2 {
			return 1
		}
		return 0
	})
	is.True(share < 0.02)
}

func TestForecastOfFall(t *testing.T) {
	is := is.New(t)
	fall := func(second float64) float64 { return max(0, min(60, 60-(second-10)*60/8)) }
	ahead := mean(func(rng *rand.Rand) float64 {
		return simulateFilter(rng, fall, 16*time.Second).forecast(5 * time.Second)
	})
	is.True(ahead < 12) // 15 requests a second come by then
	gone := mean(func(rng *rand.Rand) float64 {
		return simulateFilter(rng, fall, 25*time.Second).forecast(5 * time.Second)
	})
	is.True(gone < 1)
}

// A new planner does not know earlier rates, so it must not take the first requests for a rise.
func TestForecastAfterStartIgnoresFirstRequests(t *testing.T) {
	is := is.New(t)
	ahead := mean(func(rng *rand.Rand) float64 {
		filter := newRateFilter(0, 0, typicalSlopeDeviation)
		for now := time.Duration(0); now < 3*time.Second; now += binSpan {
			filter.observe(now, 5+float64(rng.IntN(6)), typicalSlopeDeviation) // about 30 a second
		}
		return filter.forecast(5 * time.Second)
	})
	is.True(ahead > 20)
	is.True(ahead < 45)
}

func TestFilterRestartsAfterLongGap(t *testing.T) {
	is := is.New(t)
	filter := newRateFilter(0, 0, typicalSlopeDeviation)
	filter.observe(0, 100, typicalSlopeDeviation)
	filter.advanceTo(time.Hour, typicalSlopeDeviation)
	is.Equal(filter.rate, 0.0)
	is.Equal(filter.binStart, time.Hour)
}
