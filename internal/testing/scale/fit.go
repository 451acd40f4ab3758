package scale

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Line is a straight line through measured points, and how far they lie from it.
type Line struct {
	Intercept           float64 // at none
	Slope               float64 // for each one more
	RootMeanSquareError float64 // the root of the mean square of what the line misses
}

// At is the line's value.
func (f Line) At(x float64) float64 { return f.Intercept + f.Slope*x }

// FitLine fits a line by least squares.
func FitLine(x, y []float64) Line {
	f := Line{}
	f.Intercept, f.Slope = stat.LinearRegression(x, y, nil, false)
	squares := 0.0
	for i := range x {
		squares += math.Pow(y[i]-f.At(x[i]), 2)
	}
	f.RootMeanSquareError = math.Sqrt(squares / float64(len(x)))
	return f
}
