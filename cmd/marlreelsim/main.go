// Command marlreelsim simulates the system's decisions (internal/testing/emulator): demand that moves between hundreds
// of models, ninety proxies, and backends that batch requests. It prints the share of the requests' value that was
// served. For comparison it repeats the runs with proxies that know nothing of their peers' backlogs, with a planner
// that knows the demand in advance, and with proxies that see the true state of all backends.
package main

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"marlreel/internal/testing/emulator"
)

// scenario is a kind of knowledge, with its name in the output.
type scenario struct {
	name      string
	knowledge emulator.Knowledge
}

// scenarios are simulated for comparison; the first is the system as it is in service.
var scenarios = []scenario{
	{"in service", emulator.AsInService},
	{"each proxy alone", emulator.NoPeerBacklogs},
	{"demand known ahead", emulator.KnownDemand},
	{"all known at once", emulator.PerfectKnowledge},
}

// tableHeader names the columns of the output.
const tableHeader = "knowledge\tseed\tserved\tworst 2 s\tin time\tlate\tpaused\tlost\trefused\tloads\tconnections\tcrossings\tmedian late\tby kind"

func main() {
	if err := command().Execute(); err != nil {
		os.Exit(1)
	}
}

func command() *cobra.Command {
	var seeds, first, jobs int
	var brief, vary bool
	cmd := &cobra.Command{
		Use: "marlreelsim", Short: "Play routing and placement in simulated time", Args: cobra.NoArgs, SilenceUsage: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if seeds < 1 || first < 0 || jobs < 1 {
				return &usageError{seeds, first, jobs}
			}
			out := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 8, 2, ' ', 0)
			fmt.Fprintln(out, tableHeader)
			simulated := scenarios
			if brief {
				simulated = scenarios[:1]
			}
			for _, s := range simulated {
				if err := runSeeds(out, s.name, runSet{knowledge: s.knowledge, first: first, seeds: seeds, jobs: jobs, vary: vary}); err != nil {
					return err
				}
			}
			return out.Flush()
		},
	}
	cmd.Flags().IntVar(&seeds, "seeds", 4, "days to be played, one for each seed")
	cmd.Flags().IntVar(&first, "first", 1, "the first seed")
	cmd.Flags().IntVar(&jobs, "jobs", 2, "days that are played at once")
	cmd.Flags().BoolVar(&vary, "vary", false, "draw another deployment with each seed")
	cmd.Flags().BoolVar(&brief, "brief", false, "without the days that are played for comparison")
	return cmd
}

// byKind formats the share of each kind's value that was served.
func byKind(r *emulator.Result) string {
	var shares []string
	for _, kind := range slices.Sorted(maps.Keys(r.ByKind)) {
		shares = append(shares, fmt.Sprintf("%s %.3f", kind, r.ByKind[kind]))
	}
	return strings.Join(shares, ", ")
}

// usageError reports numbers on the command line that are out of range.
type usageError struct{ seeds, first, jobs int }

// Error implements error.
func (e *usageError) Error() string {
	return fmt.Sprintf("--seeds %d, --first %d, --jobs %d: --seeds and --jobs must be 1 or more, --first 0 or more", e.seeds, e.first, e.jobs)
}

// runSet describes the runs of one scenario, one for each seed.
type runSet struct {
	knowledge          emulator.Knowledge
	first, seeds, jobs int
	vary               bool
	change             func(emulator.Config) emulator.Config // applied to each configuration unless nil
}

// config returns the configuration of run i.
func (r runSet) config(i int) emulator.Config {
	seed := uint64(r.first + i)
	cfg := emulator.Default(seed)
	if r.vary {
		cfg = emulator.RandomDeployment(cfg, seed)
	}
	if r.change != nil {
		cfg = r.change(cfg)
	}
	cfg.Knowledge = r.knowledge
	return cfg
}

// runSeeds simulates one scenario on several seeds and prints a line for each, and the mean.
func runSeeds(out *tabwriter.Writer, name string, set runSet) error {
	results := make([]*emulator.Result, set.seeds)
	errs := make([]error, set.seeds)
	var group sync.WaitGroup
	slots := make(chan struct{}, max(1, set.jobs))
	for i := range set.seeds {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			results[i], errs[i] = emulator.Run(set.config(i))
		})
	}
	group.Wait()
	mean := 0.0
	for i, r := range results {
		if errs[i] != nil {
			return errs[i]
		}
		mean += r.ValueShare / float64(set.seeds)
		fmt.Fprintf(out, "%s\t%d\t%.3f\t%.3f\t%d\t%d\t%d\t%d\t%d+%d\t%d\t%d\t%d\t%v\t%s\n", name, set.first+i, r.ValueShare, r.WorstWindowShare, r.InTime, r.Late, r.Paused,
			r.Lost, r.Rejections, r.FinalRejections, r.Loads, r.Connections, r.CrossZoneAttempts, r.MedianLateLatency.Round(1e7), byKind(r))
	}
	fmt.Fprintf(out, "%s\tmean\t%.3f\n", name, mean)
	return nil
}
