package portablemath

import (
	"math"
	"testing"
)

// pinned are results by argument. They must be the same on every processor, whether or not it fuses products and sums.
var pinned = map[float64]uint64{
	1:        0x4005bf0a8b145769,
	-1:       0x3fd78b56362cef38,
	0.1:      0x3ff1aec7b35a00d4,
	-0.1:     0x3fecf46d99d52b3a,
	1e-09:    0x3ff000000044b830,
	-3.3333:  0x3fa244047c3bf6df,
	0.6931:   0x3fffff9d0eba2f35,
	12.75:    0x4115079f95a52756,
	-27.125:  0x3d7d2e05f2fff6f6,
	99.5:     0x48e7653cbcc25d24,
	-250.001: 0x29640a3121b2e9f7,
	700.7:    0x7f1dc86ff276fcf3,
}

func TestResultsArePinned(t *testing.T) {
	for x, want := range pinned {
		if got := math.Float64bits(Exp(x)); got != want {
			t.Errorf("Exp(%v) has the bits %#x, want %#x", x, got, want)
		}
	}
}

// Where results are normal numbers, they differ from those of the standard library by a few units in the last place at most.
func TestExpIsAccurate(t *testing.T) {
	const step, first, last, maxUnits = 0.00917, -708.0, 709.0, 4
	for x := first; x < last; x += step {
		got, want := math.Float64bits(Exp(x)), math.Float64bits(math.Exp(x))
		if max(got, want)-min(got, want) > maxUnits {
			t.Fatalf("Exp(%v) = %v, want %v", x, math.Float64frombits(got), math.Float64frombits(want))
		}
	}
}

func TestExpOfExtremes(t *testing.T) {
	for _, c := range []struct{ x, want float64 }{
		{math.Inf(1), math.Inf(1)},
		{math.Inf(-1), 0},
		{710, math.Inf(1)},
		{1e300, math.Inf(1)},
		{-746, 0},
		{-1e300, 0},
		{0, 1},
		{math.Copysign(0, -1), 1},
		{-745.1, 5e-324},
	} {
		if got := Exp(c.x); got != c.want {
			t.Errorf("Exp(%v) = %v, want %v", c.x, got, c.want)
		}
	}
	if !math.IsNaN(Exp(math.NaN())) {
		t.Error("Exp of NaN is a number")
	}
}
