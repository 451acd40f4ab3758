package main

import (
	"fmt"
	"io"
	"text/tabwriter"

	"marlreel/internal/testing/scale"
)

// roles are the roles in the order of the report.
var roles = []string{"control", "agent", "proxy"}

// printReport prints the usage of each role, the times of changes, and the lines fitted through the measurements.
func printReport(out io.Writer, results []*scale.Result) error {
	const tabWidth, padding = 4, 2
	table := tabwriter.NewWriter(out, 0, tabWidth, padding, ' ', tabwriter.AlignRight)
	printUsage(table, results)
	printChanges(table, results)
	fmt.Fprintln(table, "\nline by\trole\tfigure\tat none\tfor each\tresidue\t")
	printLines(table, "proxies", results, func(r *scale.Result) int { return r.Proxies })
	printLines(table, "backends", results, func(r *scale.Result) int { return r.Backends })
	printLines(table, "routes", results, func(r *scale.Result) int { return r.Routes })
	return table.Flush()
}

func printUsage(out io.Writer, results []*scale.Result) {
	fmt.Fprintln(out, "proxies\tbackends\troutes\trole\tcore %\tMB\tKB/s in\tKB/s out\tcore % changing\tKB/s in\tKB/s out\t")
	for _, r := range results {
		for _, role := range roles {
			idle, changing := r.IdleUsage[role], r.ChangingUsage[role]
			fmt.Fprintf(out, "%d\t%d\t%d\t%s\t%.2f\t%.1f\t%.1f\t%.1f\t%.2f\t%.1f\t%.1f\t\n", r.Proxies, r.Backends, r.Routes, role,
				idle.CPUPercent, idle.ResidentMB, idle.ReadKBps, idle.WriteKBps, changing.CPUPercent, changing.ReadKBps, changing.WriteKBps)
		}
	}
}

func printChanges(out io.Writer, results []*scale.Result) {
	fmt.Fprintln(out, "\nproxies\tbackends\troutes\tin force ms p50\tp99\tworst\tacknowledged ms p50\tworst\tafter a loss ms\t")
	for _, r := range results {
		fmt.Fprintf(out, "%d\t%d\t%d\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t\n", r.Proxies, r.Backends, r.Routes, r.PropagationMS.Median,
			r.PropagationMS.P99, r.PropagationMS.Max, r.AcknowledgementMS.Median, r.AcknowledgementMS.Max, r.FailoverMS)
	}
}

// measurements are the figures through which lines are fitted.
var measurements = []struct {
	name string
	of   func(r *scale.Result, role string) float64
}{
	{"core %", func(r *scale.Result, role string) float64 { return r.IdleUsage[role].CPUPercent }},
	{"MB", func(r *scale.Result, role string) float64 { return r.IdleUsage[role].ResidentMB }},
	{"KB/s in", func(r *scale.Result, role string) float64 { return r.IdleUsage[role].ReadKBps }},
	{"KB/s out", func(r *scale.Result, role string) float64 { return r.IdleUsage[role].WriteKBps }},
	{"core % changing", func(r *scale.Result, role string) float64 { return r.ChangingUsage[role].CPUPercent }},
	{"KB/s in changing", func(r *scale.Result, role string) float64 { return r.ChangingUsage[role].ReadKBps }},
	{"KB/s out changing", func(r *scale.Result, role string) float64 { return r.ChangingUsage[role].WriteKBps }},
}

// minPoints is the least number of sizes for which a line is fitted.
const minPoints = 3

// printLines prints the lines fitted through the measurements as functions of one size. It uses the trials whose other
// sizes equal those of the first trial.
func printLines(out io.Writer, sizeName string, results []*scale.Result, size func(*scale.Result) int) {
	var varied []*scale.Result
	for _, r := range results {
		if variesOnly(r, results[0], size) {
			varied = append(varied, r)
		}
	}
	if len(varied) < minPoints {
		return
	}
	for _, role := range roles {
		for _, measurement := range measurements {
			var x, y []float64
			for _, r := range varied {
				x = append(x, float64(size(r)))
				y = append(y, measurement.of(r, role))
			}
			line := scale.FitLine(x, y)
			fmt.Fprintf(out, "%s\t%s\t%s\t%.3f\t%.5f\t%.3f\t\n", sizeName, role, measurement.name,
				line.Intercept, line.Slope, line.RootMeanSquareError)
		}
	}
}

// variesOnly reports whether a trial has the sizes of the first one, except possibly for the given size.
func variesOnly(r, first *scale.Result, size func(*scale.Result) int) bool {
	differences := 0
	for _, isSame := range []bool{r.Proxies == first.Proxies, r.Backends == first.Backends, r.Routes == first.Routes} {
		if !isSame {
			differences++
		}
	}
	return differences == 0 || (differences == 1 && size(r) != size(first))
}
