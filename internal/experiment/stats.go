package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Sample summarizes a figure over several runs.
type Sample struct {
	N          int     `json:"n"`
	Mean       float64 `json:"mean"`
	Median     float64 `json:"median"`
	Low        float64 `json:"low"`
	High       float64 `json:"high"`
	Deviation  float64 `json:"deviation"`
	WorstTenth float64 `json:"worst_tenth"` // mean of the worst tenth of the runs, at least one
}

// Describe summarizes values. below is true where lower values are worse.
func Describe(x []float64, below bool) Sample {
	if len(x) == 0 {
		return Sample{}
	}
	s := slices.Sorted(slices.Values(x))
	d := Sample{N: len(s), Mean: stat.Mean(s, nil), Median: (s[(len(s)-1)/2] + s[len(s)/2]) / 2, Low: s[0], High: s[len(s)-1]}
	if len(s) > 1 {
		d.Deviation = stat.StdDev(s, nil)
	}
	tenth := s[:max(1, len(s)/10)]
	if !below {
		tenth = s[len(s)-max(1, len(s)/10):]
	}
	d.WorstTenth = stat.Mean(tenth, nil)
	return d
}

// Verdict is the conclusion from paired runs.
type Verdict string

// The verdicts.
const (
	More   Verdict = "more"                        // the second arm has a higher value
	Less   Verdict = "less"                        // the second arm has a lower value
	Unseen Verdict = "no difference seen"          // Visible is the size that would have been detected
	Few    Verdict = "too few pairs to say a word" // regardless of their differences
	Same   Verdict = "the same in every pair"      // to about twelve digits
)

// minPairs is the least number of pairs with which a difference can be told from chance at 95%: by chance alone, all of
// five pairs differ in the same direction once in sixteen times.
const minPairs = 6

// Difference is the difference between two arms, estimated from paired runs.
type Difference struct {
	Pairs   int     `json:"pairs"`
	Mean    float64 `json:"mean"` // of second minus first
	Median  float64 `json:"median"`
	From    float64 `json:"from"` // From and To are a 95% confidence interval of the mean
	To      float64 `json:"to"`
	Verdict Verdict `json:"verdict"`
	Visible float64 `json:"visible"` // a difference of this size would be detected four times in five
}

const (
	confidence         = 0.95
	power              = 0.8
	maxExhaustivePairs = 12 // up to this many pairs, all subsets are enumerated
)

// Paired estimates the mean of paired differences, second minus first; see bounds for the method. It doesn't use a
// bootstrap of the mean, whose intervals are too narrow with ten pairs or fewer. seed is for the random choice of
// subsets.
func Paired(diffs []float64, seed uint64) Difference {
	n := len(diffs)
	d := Difference{Pairs: n, Verdict: Few}
	if n == 0 {
		return d
	}
	s := Describe(diffs, true)
	d.Mean, d.Median, d.From, d.To = s.Mean, s.Median, s.Low, s.High
	if n < 2 {
		return d
	}
	se := s.Deviation / math.Sqrt(float64(n))
	// Values that agree to twelve digits count as equal: rounding makes sums of equal values differ in the last digits.
	if s.Deviation <= 1e-12*max(1, math.Abs(s.Mean)) {
		d.From, d.To = s.Mean, s.Mean
		switch {
		case n < minPairs:
		case math.Abs(s.Mean) <= 1e-12:
			d.Verdict = Same
		case s.Mean > 0:
			d.Verdict = More
		default:
			d.Verdict = Less
		}
		return d
	}
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(n - 1)}
	if n < minPairs {
		d.Visible = (t.Quantile((1+confidence)/2) + t.Quantile(power)) * se
		return d
	}
	d.From, d.To = bounds(diffs, seed)
	d.Visible = (d.To-d.From)/2 + t.Quantile(power)*se
	switch {
	case d.From > 0:
		d.Verdict = More
	case d.To < 0:
		d.Verdict = Less
	default:
		d.Verdict = Unseen
	}
	return d
}

// bounds returns a 95% confidence interval of the mean difference. It assumes that differences are distributed
// symmetrically around it, as those of two arms with the same noise are. The means of all subsets of the pairs then
// divide the line into intervals of equal probability (Hartigan's typical values, the inverse of the sign-flip test).
// With many pairs it uses a random choice of subsets.
func bounds(diffs []float64, seed uint64) (low, high float64) {
	n := len(diffs)
	var means []float64
	add := func(in func(i int) bool) {
		sum, k := 0.0, 0
		for i, d := range diffs {
			if in(i) {
				sum, k = sum+d, k+1
			}
		}
		if k > 0 {
			means = append(means, sum/float64(k))
		}
	}
	if n <= maxExhaustivePairs {
		for set := 1; set < 1<<n; set++ {
			add(func(i int) bool { return set>>i&1 == 1 })
		}
	} else {
		r := rand.New(rand.NewPCG(seed, uint64(n)))
		for len(means) < 1<<maxExhaustivePairs-1 {
			add(func(int) bool { return r.Uint64()&1 == 1 })
		}
	}
	slices.Sort(means)
	k := int(float64(len(means)+1) * (1 - confidence) / 2) // at least 1 with minPairs or more
	return means[k-1], means[len(means)-k]
}

// Words describes the difference in a figure in one sentence.
func (d Difference) Words(first, second, figure string) string {
	switch d.Verdict {
	case Few:
		return fmt.Sprintf("%s: %s; %d pairs, at least %d are needed", figure, d.Verdict, d.Pairs, minPairs)
	case Same:
		return fmt.Sprintf("%s: %s (%d)", figure, d.Verdict, d.Pairs)
	case Unseen:
		return fmt.Sprintf("%s: %s between %s and %s (%+.4g, from %+.4g to %+.4g); a difference of %.2g would have been detected four times in five",
			figure, d.Verdict, first, second, d.Mean, d.From, d.To, d.Visible)
	}
	return fmt.Sprintf("%s: %s has %s than %s by %.4g (from %+.4g to %+.4g, %d pairs)", figure, second, d.Verdict, first, math.Abs(d.Mean), d.From, d.To, d.Pairs)
}
