// Command marlreelsim plays the system's decisions in simulated time: demand that moves between hundreds of models,
// ninety proxies, and backends that read prompts in batches. It prints what part of the worth that was asked for
// was served, with the same day beside it for a planner that is told of demand before it comes, and for proxies that
// see all backends as they are.
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

// knowledges are what is played beside each other, with their names.
var knowledges = []struct {
	name string
	what emulator.Knowledge
}{{"in service", emulator.AsInService}, {"each proxy alone", emulator.Alone}, {"demand known ahead", emulator.DemandAhead}, {"all known at once", emulator.AllAtOnce}}

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
			fmt.Fprintln(out, "knowledge\tseed\tserved\tworst 2 s\tin time\tlate\tpaused\tlost\trefused\tloads\tconnections\tcrossings\tmedian late\tby kind")
			for _, k := range knowledges[:map[bool]int{true: 1, false: len(knowledges)}[brief]] {
				if err := playSeeds(out, k.name, days{knowledge: k.what, first: first, seeds: seeds, jobs: jobs, vary: vary}); err != nil {
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

// byKind words what part of each kind's worth was served.
func byKind(r *emulator.Result) string {
	var words []string
	for _, kind := range slices.Sorted(maps.Keys(r.ByKind)) {
		words = append(words, fmt.Sprintf("%s %.3f", kind, r.ByKind[kind]))
	}
	return strings.Join(words, ", ")
}

// usageError says which numbers can't be used.
type usageError struct{ seeds, first, jobs int }

// Error implements error.
func (e *usageError) Error() string {
	return fmt.Sprintf("--seeds %d, --first %d, --jobs %d: at least one day and one at once are needed, and seeds from 0 on", e.seeds, e.first, e.jobs)
}

// days are what is to be played.
type days struct {
	knowledge          emulator.Knowledge
	first, seeds, jobs int
	vary               bool
	change             func(emulator.Config) emulator.Config // of each; nil: none
}

// config is that of one seed.
func (d days) config(i int) emulator.Config {
	seed := uint64(d.first + i)
	cfg := emulator.Default(seed)
	if d.vary {
		cfg = emulator.Vary(cfg, seed)
	}
	if d.change != nil {
		cfg = d.change(cfg)
	}
	cfg.Knowledge = d.knowledge
	return cfg
}

// playSeeds plays one kind of knowledge on several seeds and prints a line for each, and the mean.
func playSeeds(out *tabwriter.Writer, name string, d days) error {
	results := make([]*emulator.Result, d.seeds)
	errs := make([]error, d.seeds)
	var group sync.WaitGroup
	room := make(chan struct{}, max(1, d.jobs))
	for i := range d.seeds {
		room <- struct{}{}
		group.Go(func() {
			defer func() { <-room }()
			results[i], errs[i] = emulator.Play(d.config(i))
		})
	}
	group.Wait()
	mean := 0.0
	for i, r := range results {
		if errs[i] != nil {
			return errs[i]
		}
		mean += r.Share / float64(d.seeds)
		fmt.Fprintf(out, "%s\t%d\t%.3f\t%.3f\t%d\t%d\t%d\t%d\t%d+%d\t%d\t%d\t%d\t%v\t%s\n", name, d.first+i, r.Share, r.WorstWindow, r.InTime, r.Late, r.Paused,
			r.Lost, r.Refusals, r.RefusedLast, r.Loads, r.Connections, r.Crossings, r.LateMedian.Round(1e7), byKind(r))
	}
	fmt.Fprintf(out, "%s\tmean\t%.3f\n", name, mean)
	return nil
}
