// Command marlreelscale runs systems of several sizes on the loopback addresses of one machine, measures what each role
// costs, and fits lines through the measurements (docs/CAPACITY.md).
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
	"go.uber.org/multierr"

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

// sizes are the system sizes of the trials. One list is varied at a time, with the first values of the others.
type sizes struct {
	proxies, backends, routes []int
}

// options are the values of the flags.
type options struct {
	base  scale.Config // without the sizes
	plan  scale.Plan
	sizes sizes
	// resultsFile is the file for the trials' results, one line of JSON each; empty for none.
	resultsFile string
}

func newCommand() *cobra.Command {
	var o options
	command := &cobra.Command{
		Use: "marlreelscale", Short: "measure what each role costs at several sizes",
		Long: `Runs marlreeld's control processes and one proxy with its agent as real processes, beside hollow
proxies and stand-in backends, for each size; prints a table, and the line through the figures.

  go build -o target/ ./cmd/marlreeld && go run ./cmd/marlreelscale --proxies 25,50,100,200,380`,
		Args: cobra.NoArgs, SilenceUsage: true, SilenceErrors: true,
		RunE: func(command *cobra.Command, _ []string) error {
			results, err := runTrials(command.Context(), o, command.ErrOrStderr())
			if err != nil {
				return err
			}
			if o.resultsFile != "" {
				if err := writeResults(o.resultsFile, results); err != nil {
					return err
				}
			}
			return printReport(command.OutOrStdout(), results)
		},
	}
	o.addFlags(command)
	return command
}

// addFlags adds the flags that set the options.
func (o *options) addFlags(command *cobra.Command) {
	flags := command.Flags()
	flags.StringVar(&o.base.Program, "program", "target/marlreeld", "the program")
	flags.IntVar(&o.base.Controls, "controls", 5, "control processes")
	flags.IntVar(&o.base.Zones, "zones", 6, "zones")
	flags.IntVar(&o.base.Models, "models", 100, "models")
	flags.IntSliceVar(&o.sizes.proxies, "proxies", []int{25, 50, 100, 200}, "how many proxies, the first with each number of backends and routes")
	flags.IntSliceVar(&o.sizes.backends, "backends", []int{50}, "how many backends, the first with each number of proxies and routes")
	flags.IntSliceVar(&o.sizes.routes, "routes", []int{20}, "how many routes, the first with each number of proxies and backends")
	flags.DurationVar(&o.base.HeartbeatInterval, "beat", 1200*time.Millisecond, "the time between two heartbeats of a backend")
	flags.DurationVar(&o.plan.WarmupTime, "settle", 5*time.Second, "how long a system rests before it is measured")
	flags.DurationVar(&o.plan.IdleTime, "idle", 10*time.Second, "how long it is measured without changes")
	flags.IntVar(&o.plan.Changes, "changes", 10, "how many changes, one a second")
	flags.StringVar(&o.resultsFile, "raw", "", "a file for the raw figures, a line of JSON a trial")
}

// configsOf returns the configurations to run: one list varies at a time.
func configsOf(base scale.Config, vary sizes) []scale.Config {
	base.Proxies = vary.proxies[0]
	base.Backends = vary.backends[0]
	base.Routes = vary.routes[0]
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

// runTrials runs one trial after the other, and reports progress separately from the results.
func runTrials(ctx context.Context, o options, progress io.Writer) ([]*scale.Result, error) {
	if len(o.sizes.proxies) == 0 || len(o.sizes.backends) == 0 || len(o.sizes.routes) == 0 {
		return nil, eris.New("each of --proxies, --backends and --routes needs at least one number")
	}
	if _, err := os.Stat(o.base.Program); err != nil {
		return nil, eris.Wrap(err, "build the program first: go build -o target/ ./cmd/marlreeld")
	}
	var results []*scale.Result
	for _, cfg := range configsOf(o.base, o.sizes) {
		fmt.Fprintf(progress, "%d proxies, %d backends, %d routes\n", cfg.Proxies, cfg.Backends, cfg.Routes)
		result, err := scale.Run(ctx, cfg, o.plan)
		if err != nil {
			return nil, eris.Wrapf(err, "%d proxies, %d backends, %d routes", cfg.Proxies, cfg.Backends, cfg.Routes)
		}
		results = append(results, result)
	}
	return results, nil
}

// writeResults writes one line of JSON per result.
func writeResults(path string, results []*scale.Result) error {
	out, err := os.Create(path)
	if err != nil {
		return eris.Wrap(err, "writing the raw figures")
	}
	encoder := json.NewEncoder(out)
	for _, result := range results {
		if err := encoder.Encode(result); err != nil {
			return multierr.Append(eris.Wrap(err, "writing the raw figures"), out.Close())
		}
	}
	return out.Close()
}
