package scale

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Line is a straight line fitted to measured points, with the error of the fit.
type Line struct {
	// Intercept is the line's value at 0.
	Intercept float64
	// Slope is the increase of the value per unit of x.
	Slope float64
	// RootMeanSquareError is the root mean square of the vertical distances of the points from the line.
	RootMeanSquareError float64
}

// At returns the line's value at x.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }

// FitLine fits a line by ordinary least squares. The points must have at least two different values of x.
func FitLine(x, y []float64) Line {
	line := Line{}
	line.Intercept, line.Slope = stat.LinearRegression(x, y, nil, false)
	squares := 0.0
	for i := range x {
		squares += math.Pow(y[i]-line.At(x[i]), 2)
	}
	line.RootMeanSquareError = math.Sqrt(squares / float64(len(x)))
	return line
}
