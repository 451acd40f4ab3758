package emulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// request is one attempt of a client: the first one or a retry.
type request struct {
	kind           *RequestKind
	at             time.Duration // arrival of this attempt
	model, adapter string
	promptTokens   int
	outputTokens   int
	zone, proxy    int
	value          float64
	retried        bool
	deadline       time.Duration
	firstAttempt   time.Duration
	rejectedEarly  bool // the previous attempt was rejected within a quarter of the latency target
}

// arrivals draws all first attempts of a run, in order, as a Poisson process by thinning (Lewis and Shedler, 1979).
func arrivals(cfg *Config, rng *rand.Rand) []*request {
	var all []*request
	maxRate := 0.0
	for i := range cfg.Kinds {
		maxRate += cfg.Kinds[i].PerSecond * cfg.maxFactor(cfg.Kinds[i].Name)
	}
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / maxRate * float64(time.Second))
		if at >= cfg.Duration {
			return all
		}
		draw := rng.Float64() * maxRate
		for i := range cfg.Kinds {
			kind := &cfg.Kinds[i]
			rate := kind.PerSecond * cfg.factorAt(kind.Name, at)
			if draw < rate {
				all = append(all, cfg.draw(kind, at, rng))
				break
			}
			draw -= rate
		}
	}
}

func (c *Config) maxFactor(kind string) float64 {
	greatest := 1.0
	for _, b := range c.Bursts {
		if b.Kind == kind {
			greatest *= max(1, b.Factor)
		}
	}
	return greatest
}

func (c *Config) factorAt(kind string, at time.Duration) float64 {
	factor := 1.0
	for _, b := range c.Bursts {
		if b.Kind == kind && at >= b.At && at < b.At+b.Over {
			factor *= b.Factor
		}
	}
	return factor
}

// draw draws a request of a kind.
func (c *Config) draw(kind *RequestKind, at time.Duration, rng *rand.Rand) *request {
	q := &request{
		kind: kind, at: at, firstAttempt: at, zone: rng.IntN(c.Zones), proxy: rng.IntN(c.ProxiesPerZone),
		deadline: at + kind.Deadline,
	}
	if kind.Rare {
		q.model = fmt.Sprintf("rare-%d", drawRank(c.RareModels, c.RareSkew, rng))
	} else {
		q.model = busyName((c.positionsAt(at, rng) + drawRank(c.BusyNow, c.Skew, rng)) % c.BusyModels)
		if c.Adapters > 0 && rng.Float64() < kind.AdapterShare {
			q.adapter = fmt.Sprintf("a%d", 1+drawRank(c.Adapters, 1, rng))
		}
	}
	q.promptTokens = drawTokens(kind.PromptTokens, rng)
	q.outputTokens = drawTokens(kind.OutputTokens, rng)
	q.value = min(4, 0.3+0.7*float64(q.promptTokens)/float64(max(1, kind.PromptTokens)))
	return q
}

func busyName(i int) string { return fmt.Sprintf("busy-%d", i) }

// positionsAt returns by how many positions demand has shifted for a request. During a shift it draws whether the
// request belongs to the demand before or after the shift.
func (c *Config) positionsAt(at time.Duration, rng *rand.Rand) int {
	positions := 0
	for _, s := range c.Shifts {
		if at >= s.At && rng.Float64() < (at-s.At).Seconds()/max(s.Over.Seconds(), 1e-9) {
			positions += s.Positions
		}
	}
	return positions
}

// drawRank draws one of n ranks from a Zipf distribution, the first most often.
func drawRank(n int, skew float64, rng *rand.Rand) int {
	total := 0.0
	for i := range n {
		total += math.Pow(float64(i+1), -skew)
	}
	draw := rng.Float64() * total
	for i := range n {
		if draw -= math.Pow(float64(i+1), -skew); draw < 0 {
			return i
		}
	}
	return n - 1
}

const (
	// lengthSpread is the standard deviation of the logarithm of lengths. maxLength limits lengths, as a multiple of the mean.
	lengthSpread = 1.0
	maxLength    = 3.8
)

// drawTokens draws a log-normal number of tokens with a mean, limited to maxLength times the mean.
func drawTokens(mean int, rng *rand.Rand) int {
	length := math.Exp(rng.NormFloat64()*lengthSpread - lengthSpread*lengthSpread/2)
	return max(1, int(float64(mean)*min(length, maxLength)))
}
