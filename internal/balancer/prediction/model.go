// Package prediction estimates the probability that an attempt is answered in time, and the expected utility of sending
// it.
//
// An estimate of a delay is a number of milliseconds that is too low for some requests and too high for others, and by
// how much differs between deployments: how well hints predict work, how backends share a core, how long the tails are.
// So the model records the estimate and the actual time of each attempt, and learns for each class the distribution of
// the logarithm of their ratio, which is assumed to be normal. The probability of an answer within a given time follows
// from that distribution.
//
// An attempt without an answer shows only that it takes longer than the time it was given. Leaving such attempts out
// would make slow backends look fast, because timeouts are the slow attempts. So each counts with the mean of the
// distribution's tail beyond that time (the E step of the EM algorithm for censored data: Dempster, Laird and Rubin,
// 1977).
//
// The package is pure: no goroutine, no clock, no I/O, no random numbers. Package balancer, which owns the Model,
// decides what is sent or rejected, and where to.
package prediction

import (
	"fmt"
	"math"

	"marlreel/internal/balancer/portablemath"
)

const (
	priorCount    = 20    // outcomes that the assumed distribution counts for:
	priorMean     = 0.0   // estimates are right,
	priorVariance = 0.5   // within a factor of two about
	retention     = 0.996 // weight of earlier outcomes as each new one is added: some 250 count
	minVariance   = 0.02
	maxLogRatio   = 4.0 // bound of the logarithm of one outcome's ratio, either way
)

// Model has one distribution for each class. Not safe for concurrent use.
type Model struct{ classes []class }

// class holds sums over the outcomes, with older ones weighted less.
type class struct{ count, logRatioSum, logRatioSquares float64 }

// New returns a model that has learned nothing. It panics if classes is below 1.
func New(classes int) *Model {
	if classes < 1 {
		panic(fmt.Sprintf("prediction: %d classes", classes))
	}
	return &Model{classes: make([]class, classes)}
}

// Grow makes room for the given number of classes; existing ones keep their state.
func (m *Model) Grow(classes int) {
	for len(m.classes) < classes {
		m.classes = append(m.classes, class{})
	}
}

// Forget drops what was learned of a class.
func (m *Model) Forget(k int) { m.classes[k] = class{} }

// distribution returns the mean and the standard deviation of the logarithm of the ratio.
func (k *class) distribution() (mean, dev float64) {
	n := k.count + priorCount
	mean = (k.logRatioSum + priorCount*priorMean) / n
	v := (k.logRatioSquares+priorCount*(priorVariance+priorMean*priorMean))/n - mean*mean
	return mean, math.Sqrt(max(v, minVariance))
}

// RecordOutcome records that an attempt of class k took the time took (ms), where estimate (ms) was predicted. answered
// is false if the attempt was given up: its answer would have taken longer.
func (m *Model) RecordOutcome(k int, estimate, took float64, answered bool) {
	if !(estimate > 0) || !(took > 0) {
		return
	}
	g := &m.classes[k]
	x := min(max(math.Log(took)-math.Log(estimate), -maxLogRatio), maxLogRatio)
	tailVariance := 0.0 // variance of the tail beyond x
	if !answered {
		mean, dev := g.distribution()
		z := (x - mean) / dev
		mills := normalTailMean(z)
		x = min(mean+dev*mills, 2*maxLogRatio)
		tailVariance = dev * dev * max(0, 1+z*mills-mills*mills)
	}
	g.count, g.logRatioSum, g.logRatioSquares = g.count*retention+1, g.logRatioSum*retention+x, g.logRatioSquares*retention+x*x+tailVariance
}

// normalTailMean is the mean of the standard normal distribution's tail beyond z (the inverse Mills ratio).
func normalTailMean(z float64) float64 {
	if z > 6 { // the asymptote, where numerator and denominator both vanish
		return z + 1/z
	}
	density := portablemath.Exp(-z*z/2) / math.Sqrt(2*math.Pi)
	switch {
	case z >= erfcUsesExp:
		return tailMeanByFraction(z)
	case z <= -erfcUsesExp:
		return density / (1 - density/tailMeanByFraction(-z))
	}
	return density / (math.Erfc(z/math.Sqrt2) / 2)
}

const (
	// erfcUsesExp is from where on math.Erfc uses math.Exp, whose last bit depends on the processor.
	erfcUsesExp = 1.25 * math.Sqrt2
	// fractionTerms is enough for the precision of a float64 from erfcUsesExp on.
	fractionTerms = 120
)

// tailMeanByFraction is normalTailMean by Laplace's continued fraction z + 1/(z + 2/(z + 3/(z + ...))).
func tailMeanByFraction(z float64) float64 {
	value := z
	for n := float64(fractionTerms); n >= 1; n-- {
		value = z + n/value
	}
	return value
}

// SuccessProbability is the probability, 0 to 1, that an attempt of class k is answered within left (ms), where
// estimate (ms) is predicted.
func (m *Model) SuccessProbability(k int, estimate, left float64) float64 {
	switch {
	case left <= 0:
		return 0
	case estimate <= 0:
		return 1
	}
	mean, dev := m.classes[k].distribution()
	return 1 - math.Erfc((math.Log(left/estimate)-mean)/dev/math.Sqrt2)/2
}

// Costs holds what sending costs, in requests of mean utility.
type Costs struct {
	Waste     float64 // of a mean request's work that is wasted
	CrossZone float64 // of an attempt in another zone
}

// Attempt describes what one attempt can gain and what it costs.
type Attempt struct {
	Utility            float64 // of an answer in time, in requests of mean utility
	Work               float64 // in requests of mean work
	CrossZone          bool    // it goes to another zone
	SuccessProbability float64 // of an answer in time
}

// ExpectedUtility returns what an attempt adds on average, in requests of mean utility. It is below 0 where the
// expected waste, or crossing zones, costs more.
func (p Costs) ExpectedUtility(s Attempt) float64 {
	v := s.Utility*s.SuccessProbability - p.Waste*s.Work*(1-s.SuccessProbability)
	if s.CrossZone {
		v -= p.CrossZone
	}
	return v
}

// IsWorthwhile reports whether an attempt adds at least the given ratio of its utility and, if not, whether it is
// hopeless: it would not be worthwhile in its own zone either.
func (p Costs) IsWorthwhile(s Attempt, minRatio float64) (worthwhile, hopeless bool) {
	worthwhile = p.ExpectedUtility(s) >= minRatio*s.Utility
	s.CrossZone = false
	return worthwhile, !worthwhile && p.ExpectedUtility(s) < minRatio*s.Utility
}

// State is what was learned of a class, for another process to resume: the number of outcomes and the sums over them.
// Its encoding is an array: the order of the fields is the stored form.
type State struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack struct{} `msgpack:",as_array"`

	N, Sum, Sum2 float64
}

// State returns what was learned of a class.
func (m *Model) State(k int) State {
	g := m.classes[k]
	return State{N: g.count, Sum: g.logRatioSum, Sum2: g.logRatioSquares}
}

// Resume continues with what another process learned of a class, counting for at most maxWeight outcomes.
func (m *Model) Resume(k int, s State, maxWeight float64) {
	f := min(1, maxWeight/max(s.N, 1e-9))
	m.classes[k] = class{s.N * f, s.Sum * f, s.Sum2 * f}
}
