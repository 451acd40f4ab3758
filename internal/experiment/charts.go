package experiment

import (
	"fmt"
	"image/color"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

var colours = []color.Color{
	color.RGBA{0x10, 0x70, 0x50, 0xff},
	color.RGBA{0xc0, 0x50, 0x20, 0xff},
	color.RGBA{0x30, 0x50, 0xb0, 0xff},
	color.RGBA{0x80, 0x40, 0xa0, 0xff},
	color.RGBA{0x60, 0x60, 0x60, 0xff},
	color.RGBA{0xa0, 0x80, 0x00, 0xff},
	color.RGBA{0x00, 0x80, 0x90, 0xff},
	color.RGBA{0x90, 0x20, 0x40, 0xff},
}

const chartWidth, chartHeight = 7 * vg.Inch, 3.2 * vg.Inch

// Charts draws an analysis into a folder and returns the names of the files. It draws the staircase of a tipping
// question; otherwise the first four figures, against a numeric factor if there is one, or else run by run for each arm.
func (a *Analysis) Charts(dir string) (files []string, err error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	save := func(p *plot.Plot, name string) error {
		c := vgsvg.New(chartWidth, chartHeight)
		p.Draw(draw.New(c))
		f, err := os.Create(filepath.Join(dir, name))
		if err != nil {
			return err
		}
		if _, err = c.WriteTo(f); err == nil {
			err = f.Close()
		} else {
			f.Close()
		}
		files = append(files, name)
		return err
	}
	if a.Identity.Staircase != nil {
		p, err := a.staircase()
		if err == nil {
			err = save(p, a.Name+".svg")
		}
		return files, err
	}
	for i, f := range a.Identity.Figures {
		if i == 4 { // the rest is in the table only
			break
		}
		p, err := a.figure(f)
		if err == nil {
			err = save(p, fmt.Sprintf("%s-%s.svg", a.Name, strings.ReplaceAll(f, ".", "-")))
		}
		if err != nil {
			return files, err
		}
	}
	return files, nil
}

// staircase plots service against load, with one line for the way up and one for the way down.
func (a *Analysis) staircase() (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = a.Name+": service on the way up (solid) and down (dashed)", "load, as a multiple of the scenario's", "service, median"
	p.Y.Min, p.Y.Max, p.Legend.Left = 0, 1, true
	for k, c := range a.Cells {
		var up, down plotter.XYs
		for _, s := range c.Steps {
			if s.Down {
				down = append(down, plotter.XY{X: s.Load, Y: s.Service.Median})
			} else {
				up = append(up, plotter.XY{X: s.Load, Y: s.Service.Median})
			}
		}
		for i, xy := range []plotter.XYs{up, down} {
			if len(xy) == 0 || c.Runs == 0 {
				continue
			}
			line, dots, err := plotter.NewLinePoints(xy)
			if err != nil {
				return nil, err
			}
			line.Color, dots.Color, dots.Shape = colours[k%len(colours)], colours[k%len(colours)], draw.CircleGlyph{}
			if i == 1 {
				line.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
			} else {
				p.Legend.Add(strings.TrimSuffix(c.Arm+" "+c.Level, " "), line)
			}
			p.Add(line, dots)
		}
	}
	return p, nil
}

// figure plots one figure: medians and ranges against a numeric factor, or each run, grouped by arm and level.
func (a *Analysis) figure(f string) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text, p.Y.Label.Text = a.Name+": "+f, f
	if at, key, ok := a.numericLevels(); ok {
		p.X.Label.Text = key
		for arm := range a.Identity.Arms {
			var xy plotter.XYs
			var spread plotter.YErrors
			for l := range a.Identity.Levels {
				if s := a.cell(arm, l).Figures[f]; s.N > 0 {
					xy = append(xy, plotter.XY{X: at[l], Y: s.Median})
					spread = append(spread, struct{ Low, High float64 }{s.Median - s.Low, s.High - s.Median})
				}
			}
			if len(xy) == 0 {
				continue
			}
			line, dots, err := plotter.NewLinePoints(xy)
			if err != nil {
				return nil, err
			}
			bars, err := plotter.NewYErrorBars(struct {
				plotter.XYs
				plotter.YErrors
			}{xy, spread})
			if err != nil {
				return nil, err
			}
			line.Color, dots.Color, bars.Color = colours[arm], colours[arm], colours[arm]
			p.Add(line, dots, bars)
			p.Legend.Add(a.Identity.Arms[arm].Name, line)
		}
		return p, nil
	}
	var labels []string
	for k, c := range a.Cells {
		var xy plotter.XYs
		for i, r := range c.counted {
			if v, there := r.result.Figures[f]; there {
				// The runs of a column are in the order of their seeds, so that the runs of a pair have the same position in theirs.
				xy = append(xy, plotter.XY{X: float64(k) + 0.6*(float64(i)+0.5)/float64(len(c.counted)) - 0.3, Y: v})
			}
		}
		labels = append(labels, strings.TrimSuffix(c.Arm+" "+c.Level, " "))
		if len(xy) == 0 {
			continue
		}
		dots, err := plotter.NewScatter(xy)
		if err != nil {
			return nil, err
		}
		dots.Color, dots.Shape = colours[k%len(colours)], draw.CircleGlyph{}
		m := c.Figures[f].Median
		median, err := plotter.NewLine(plotter.XYs{{X: float64(k) - 0.35, Y: m}, {X: float64(k) + 0.35, Y: m}})
		if err != nil {
			return nil, err
		}
		median.Color = colours[k%len(colours)]
		p.Add(dots, median)
	}
	p.NominalX(labels...)
	return p, nil
}

// numericLevels returns the levels' positions on the axis if the only factor is numeric.
func (a *Analysis) numericLevels() (at []float64, key string, ok bool) {
	for _, l := range a.Identity.Levels {
		if len(l) == 0 || slices.ContainsFunc(l[1:], func(s Setting) bool { return !s.Also }) {
			return nil, "", false
		}
		switch v := l[0].Value.(type) {
		case int64:
			at = append(at, float64(v))
		case float64:
			at = append(at, v)
		default:
			return nil, "", false
		}
		key = l[0].Key
	}
	return at, key, len(at) > 1
}
