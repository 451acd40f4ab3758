// Package portablemath has an exponential function whose results are the same bits on every processor. Those of math.Exp
// differ in the last bit, as the standard library has machine code of its own for some processors. Decisions use this one, so
// that a recorded sequence of decisions can be replayed anywhere.
//
// The compiler may fuse a product and a sum into one rounding where the processor can. The conversions of products to
// float64 prevent that; math.FMA asks for it.
package portablemath

import "math"

const (
	log2E = 1.4426950408889634073599246810018920
	// ln2High and ln2Low add up to the natural logarithm of 2, with more bits than a float64 has.
	ln2High = 0.69314718055966295651160180568695068359375
	ln2Low  = 0.28235290563031577122588448175013436025525412068e-12
	// maxArgument is the largest argument whose result is finite, and below minArgument it is 0.
	maxArgument = 7.09782712893384e+02
	minArgument = -7.46e+02
	// reduction is the factor by which the argument of the series is reduced, and doublings how often the result is squared
	// for it: 2 to the power of doublings is its reciprocal.
	reduction = 0.0625
	doublings = 4
)

// Exp returns e to the power of x, as math.Exp does but for the last bit. The argument is reduced by a multiple of the logarithm
// of 2 and then by a factor, a Taylor series gives e^r-1, and squaring undoes the factor (N. Shibata, Efficient evaluation methods
// of elementary functions suitable for SIMD computation, 2010).
func Exp(x float64) float64 {
	switch {
	case math.IsNaN(x) || math.IsInf(x, 1):
		return x
	case x < minArgument:
		return 0
	case x > maxArgument:
		return math.Inf(1)
	}
	exponent := math.RoundToEven(float64(x * log2E))
	r := math.FMA(-exponent, ln2High, x)
	r = math.FMA(-exponent, ln2Low, r)
	r = float64(r * reduction)
	sum := 1.0 / 40320
	for _, coefficient := range [...]float64{1.0 / 5040, 1.0 / 720, 1.0 / 120, 1.0 / 24, 1.0 / 6, 0.5, 1} {
		sum = math.FMA(sum, r, coefficient)
	}
	y := float64(r * sum) // e^r-1
	for range doublings {
		y = float64(y * (y + 2))
	}
	return math.Ldexp(y+1, int(exponent))
}
