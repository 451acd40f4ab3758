// Command marlreelscale runs systems of several sizes on the loopback addresses of one
// machine, measures what each role costs, and fits lines through the figures.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"marlreel/internal/testing/scale"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := newCommand().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// sizes are the sizes of the trials: each list is varied by itself, from the first values.
type sizes struct {
	proxies, backends, routes []int
}

func newCommand() *cobra.Command {
	cfg := scale.Config{}
	plan := scale.Plan{}
	var vary sizes
	raw := ""
	command := &cobra.Command{
		Use: "marlreelscale", Short: "measure what each role costs at several sizes",
		Long: `Runs marlreeld's control processes and one proxy with its agent as real processes, beside hollow
proxies and stand-in backends, for each size; prints a table, and the line through the figures.

  go build -o target/ ./cmd/marlreeld && go run ./cmd/marlreelscale --proxies 25,50,100,200,380`,
		Args: cobra.NoArgs, SilenceUsage: true, SilenceErrors: true, RunE: func(command *cobra.Command, _ []string) error {
			results, err := playAll(command.Context(), cfg, plan, vary, command.ErrOrStderr())
			if err != nil {
				return err
			}
			if raw != "" {
				if err := writeRaw(raw, results); err != nil {
					return err
				}
			}
			return report(command.OutOrStdout(), results)
		},
	}
	flags := command.Flags()
	flags.StringVar(&cfg.Program, "program", "target/marlreeld", "the program")
	flags.IntVar(&cfg.Controls, "controls", 5, "control processes")
	flags.IntVar(&cfg.Zones, "zones", 6, "zones")
	flags.IntVar(&cfg.Models, "models", 100, "models")
	flags.IntSliceVar(&vary.proxies, "proxies", []int{25, 50, 100, 200}, "how many proxies, the first with each number of backends and routes")
	flags.IntSliceVar(&vary.backends, "backends", []int{50}, "how many backends, the first with each number of proxies and routes")
	flags.IntSliceVar(&vary.routes, "routes", []int{20}, "how many routes, the first with each number of proxies and backends")
	flags.DurationVar(&cfg.HeartbeatInterval, "beat", 1200*time.Millisecond, "the time between two heartbeats of a backend")
	flags.DurationVar(&plan.WarmupTime, "settle", 5*time.Second, "how long a system rests before it is measured")
	flags.DurationVar(&plan.IdleTime, "idle", 10*time.Second, "how long it is measured without changes")
	flags.IntVar(&plan.Changes, "changes", 10, "how many changes, one a second")
	flags.StringVar(&raw, "raw", "", "a file for the raw figures, a line of JSON a trial")
	return command
}

// trials are the configurations to play: one list varies at a time.
func trials(base scale.Config, vary sizes) []scale.Config {
	base.Proxies, base.Backends, base.Routes = vary.proxies[0], vary.backends[0], vary.routes[0]
	configs := []scale.Config{base}
	add := func(list []int, set func(cfg *scale.Config, value int)) {
		for _, value := range list[1:] {
			cfg := base
			set(&cfg, value)
			configs = append(configs, cfg)
		}
	}
	add(vary.proxies, func(cfg *scale.Config, value int) { cfg.Proxies = value })
	add(vary.backends, func(cfg *scale.Config, value int) { cfg.Backends = value })
	add(vary.routes, func(cfg *scale.Config, value int) { cfg.Routes = value })
	return configs
}

func playAll(ctx context.Context, base scale.Config, plan scale.Plan, vary sizes, progress io.Writer) ([]*scale.Result, error) {
	if len(vary.proxies) == 0 || len(vary.backends) == 0 || len(vary.routes) == 0 {
		return nil, eris.New("each of --proxies, --backends and --routes needs a number")
	}
	if _, err := os.Stat(base.Program); err != nil {
		return nil, eris.Wrap(err, "build the program first: go build -o target/ ./cmd/marlreeld")
	}
	var results []*scale.Result
	for _, cfg := range trials(base, vary) {
		fmt.Fprintf(progress, "%d proxies, %d backends, %d routes\n", cfg.Proxies, cfg.Backends, cfg.Routes)
		result, err := scale.Run(ctx, cfg, plan)
		if err != nil {
			return nil, eris.Wrapf(err, "%d proxies, %d backends, %d routes", cfg.Proxies, cfg.Backends, cfg.Routes)
		}
		results = append(results, result)
	}
	return results, nil
}

func writeRaw(path string, results []*scale.Result) error {
	out, err := os.Create(path)
	if err != nil {
		return eris.Wrap(err, "writing the raw figures")
	}
	encoder := json.NewEncoder(out)
	for _, result := range results {
		if err := encoder.Encode(result); err != nil {
			out.Close()
			return eris.Wrap(err, "writing the raw figures")
		}
	}
	return out.Close()
}

// roles are the roles in the order of the report.
var roles = []string{"control", "agent", "proxy"}

// report prints the table and the lines.
func report(out io.Writer, results []*scale.Result) error {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "proxies\tbackends\troutes\trole\tcore %\tMB\tKB/s in\tKB/s out\tcore % changing\tKB/s in\tKB/s out\t")
	for _, r := range results {
		for _, role := range roles {
			idle, changing := r.IdleUsage[role], r.ChangingUsage[role]
			fmt.Fprintf(table, "%d\t%d\t%d\t%s\t%.2f\t%.1f\t%.1f\t%.1f\t%.2f\t%.1f\t%.1f\t\n", r.Proxies, r.Backends, r.Routes, role,
				idle.CPUPercent, idle.ResidentMB, idle.ReadKBps, idle.WriteKBps, changing.CPUPercent, changing.ReadKBps, changing.WriteKBps)
		}
	}
	fmt.Fprintln(table, "\nproxies\tbackends\troutes\tin force ms p50\tp99\tworst\tacknowledged ms p50\tworst\tafter a loss ms\t")
	for _, r := range results {
		fmt.Fprintf(table, "%d\t%d\t%d\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t\n", r.Proxies, r.Backends, r.Routes, r.PropagationMS.Median,
			r.PropagationMS.P99, r.PropagationMS.Max, r.AcknowledgementMS.Median, r.AcknowledgementMS.Max, r.FailoverMS)
	}
	fmt.Fprintln(table, "\nline by\trole\tfigure\tat none\tfor each\tresidue\t")
	lines(table, "proxies", results, func(r *scale.Result) int { return r.Proxies })
	lines(table, "backends", results, func(r *scale.Result) int { return r.Backends })
	lines(table, "routes", results, func(r *scale.Result) int { return r.Routes })
	return table.Flush()
}

// figures are what lines are fitted through.
var figures = []struct {
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

// leastPoints is from how many sizes on a line is fitted.
const leastPoints = 3

// lines fits the figures by one size, over the trials in which the others are those of the
// first trial.
func lines(out io.Writer, name string, results []*scale.Result, size func(*scale.Result) int) {
	first := results[0]
	var used []*scale.Result
	for _, r := range results {
		others := 0
		for _, same := range []bool{r.Proxies == first.Proxies, r.Backends == first.Backends, r.Routes == first.Routes} {
			if !same {
				others++
			}
		}
		if others == 0 || others == 1 && size(r) != size(first) {
			used = append(used, r)
		}
	}
	if len(used) < leastPoints {
		return
	}
	for _, role := range roles {
		for _, figure := range figures {
			var x, y []float64
			for _, r := range used {
				x, y = append(x, float64(size(r))), append(y, figure.of(r, role))
			}
			fit := scale.FitLine(x, y)
			fmt.Fprintf(out, "%s\t%s\t%s\t%.3f\t%.5f\t%.3f\t\n", name, role, figure.name, fit.Intercept, fit.Slope, fit.RootMeanSquareError)
		}
	}
}
