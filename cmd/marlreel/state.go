package main

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"marlreel/internal/balancer/staleness"
	"marlreel/internal/process/learnedstate"
	"marlreel/internal/process/learnedstate/statefile"
)

const stateUsage = `marlreel state show FILE [--json]   print the learned state saved in FILE
marlreel state check FILE           check that FILE can be read; exit code 1 with the reason if not`

// state prints or checks a file with a proxy's learned state.
func state(args []string, out, errOut io.Writer) int {
	fail := func(code int, err error) int {
		fmt.Fprintln(errOut, "marlreel:", err)
		return code
	}
	if len(args) == 0 || args[0] != "show" && args[0] != "check" {
		return fail(2, errors.New("state: expected show or check (see marlreel state -h)"))
	}
	set := flag.NewFlagSet("state "+args[0], flag.ContinueOnError)
	set.SetOutput(io.Discard)
	asJSON := set.Bool("json", false, "")
	var files []string
	for rest := args[1:]; len(rest) > 0; rest = set.Args() {
		if err := set.Parse(rest); err != nil {
			return fail(2, fmt.Errorf("state: %w", err))
		}
		if set.NArg() == 0 {
			break
		}
		files = append(files, set.Arg(0))
		if err := set.Parse(set.Args()[1:]); err != nil {
			return fail(2, fmt.Errorf("state: %w", err))
		}
	}
	if len(files) != 1 {
		return fail(2, fmt.Errorf("state %s: expected one file, got %d", args[0], len(files)))
	}
	data, err := os.ReadFile(files[0])
	if err != nil {
		return fail(1, err)
	}
	r, err := statefile.Decode(data)
	if err != nil {
		return fail(1, fmt.Errorf("%s: %w", files[0], err))
	}
	if args[0] == "check" {
		fmt.Fprintf(out, "%s is valid: proxy %s, %d backends, %d classes\n", files[0], r.State.ProxyName, len(r.State.Backends), len(r.State.Classes))
		return 0
	}
	if *asJSON {
		e := json.NewEncoder(out)
		e.SetIndent("", " ")
		if err := e.Encode(r); err != nil {
			return fail(1, err)
		}
		return 0
	}
	show(out, r, statefile.CurrentTimestamp())
	return 0
}

// show prints a record in human-readable form.
func show(out io.Writer, r *statefile.Record, now staleness.Timestamp) {
	age := "of unknown age"
	if d, err := staleness.Age(r.WrittenAt, now); err == nil {
		age = d.Round(time.Second).String() + " old"
	}
	how := "while running: the process did not shut down cleanly, or is still running"
	if r.ShutDown {
		how = "at shutdown"
	}
	s := r.State
	fmt.Fprintf(out, "%s, %s, written %s\n\n%-20s %10s %10s %12s\n", s.ProxyName, age, how, "class", "answers", "delay ms", "served lately")
	for _, c := range s.Classes {
		mean := 0.0
		if c.DelayFit[0] > 0 {
			mean = c.DelayFit[2] / c.DelayFit[0]
		}
		fmt.Fprintf(out, "%-20s %10.0f %10.1f %12.1f\n", c.Name, c.DelayFit[0], mean, c.Served)
	}
	fmt.Fprintf(out, "\n%-20s %-22s %-9s %8s %8s %10s %s\n", "backend", "address", "health", "limit", "answers", "last ok", "")
	for _, b := range s.Backends {
		health, more := "well", ""
		if !b.Healthy {
			health = "not well"
		}
		if b.EjectedFor > 0 {
			more += fmt.Sprintf(" (ejected for another %v)", b.EjectedFor.Round(time.Millisecond))
		}
		if b.SinceStart >= 0 {
			more += fmt.Sprintf(" (started %v before the save)", b.SinceStart.Round(time.Millisecond))
		}
		ago := "never"
		if b.LastOK != learnedstate.Never {
			ago = b.LastOK.Round(time.Millisecond).String()
		}
		fmt.Fprintf(out, "%-20s %-22s %-9s %8.1f %8.1f %10s%s\n", b.Name, b.Address, health, b.ConcurrencyLimit, b.Answers, ago, more)
	}
}
