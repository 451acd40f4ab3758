// Rehearse plays a scenario against real marlreel processes and says what service was
// kept: stand-in auction nodes and discovery, clients, faults, an audit of the four
// rules, and a report.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/alecthomas/kong"

	"marlreel/internal/rehearsal"
	"marlreel/internal/standin"
	"marlreel/scenarios"
)

// What a script can tell from the exit.
const (
	exitKept   = 0
	exitBroken = 1 // a rule was broken, or a proxy crashed
	exitUsage  = 2 // wrong use, a bad scenario, or nothing could be started
	exitVoid   = 3 // the machine was too slow, or the run was broken off: nothing is said of the proxy
)

const about = `Play a bad morning against real marlreel processes and see what service was kept.

Everything runs on this machine's loopback addresses: stand-in auction nodes whose
service is modelled in time, a discovery service, clients, and the proxies as real
processes. An auditor checks the four rules from what clients and nodes saw.

  rehearse                        plays the scenario "morning"
  rehearse run calm --out report  plays "calm", and leaves report/report.html
  rehearse run --baseline random  the same against a proxy that picks at random
  rehearse compare a b            two report folders, or two marlreel binaries
  rehearse experiment compare     many days as one question ('rehearse experiment' lists more)
  rehearse up                     a small fleet and one proxy to try with curl

Exit codes: 0 all rules kept, 1 a rule broken or a proxy crashed, 2 wrong use or
nothing could be started, 3 the run is void (machine too slow, or broken off).`

type cli struct {
	List       listCmd       `cmd:"" help:"List the scenarios that are shipped."`
	Check      checkCmd      `cmd:"" help:"Check a scenario file without playing it, and print its schedule's digest."`
	Run        runCmd        `cmd:"" default:"withargs" help:"Play a scenario (default: morning) and report."`
	Compare    compareCmd    `cmd:"" help:"Compare two report folders, or two marlreel binaries played in turn on one scenario."`
	Experiment experimentCmd `cmd:"" help:"Ask one question of many days: tables and charts."`
	Results    resultsCmd    `cmd:"" help:"What experiments found: list, show, export, forget."`
	Up         upCmd         `cmd:"" help:"Stand a small fleet and one proxy up, and stay until Ctrl-C."`
	PlainProxy plainCmd      `cmd:"" hidden:"" help:"Be the proxy that picks at random (started by run --baseline random)."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// output is where a command writes: results, and what is only for people.
type output struct {
	out, err io.Writer
	terminal bool
}

// exit is an exit code that is no error's.
type exit int

func (e exit) Error() string { return fmt.Sprintf("exit %d", int(e)) }

func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var c cli
	o := &output{out: stdout, err: stderr, terminal: isTerminal(stderr)}
	ended := -1
	parser, err := kong.New(&c, kong.Name("rehearse"), kong.Description(about), kong.Writers(stdout, stderr),
		kong.Exit(func(code int) { ended = code }), kong.BindTo(ctx, (*context.Context)(nil)), kong.Bind(o),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}))
	if err != nil {
		fmt.Fprintln(stderr, "rehearse:", err)
		return exitUsage
	}
	k, err := parser.Parse(args)
	if ended >= 0 { // -h
		return ended
	}
	if err != nil {
		fmt.Fprintf(stderr, "rehearse: %v (rehearse -h says more)\n", err)
		return exitUsage
	}
	var code exit
	switch err := k.Run(); {
	case err == nil:
		return exitKept
	case errors.As(err, &code):
		return int(code)
	case errors.Is(err, context.Canceled):
		fmt.Fprintln(stderr, "rehearse: broken off; all that it started has ended")
		return exitVoid
	default:
		fmt.Fprintln(stderr, "rehearse:", err)
		return exitUsage
	}
}

func isTerminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	if !ok {
		return false
	}
	i, err := f.Stat()
	return err == nil && i.Mode()&os.ModeCharDevice != 0
}

// load finds a scenario by a file's path or a shipped one's name.
func load(name string) (*rehearsal.Scenario, error) {
	if strings.ContainsAny(name, "/\\") || strings.HasSuffix(name, ".toml") {
		return rehearsal.Load(name)
	}
	data, err := scenarios.Files.ReadFile(name + ".toml")
	if err != nil {
		return nil, fmt.Errorf("no scenario %q is shipped ('rehearse list' has them; a file needs its path, such as ./%s.toml)", name, name)
	}
	return rehearsal.Parse(name+".toml", data)
}

type listCmd struct {
	JSON bool `name:"json" help:"For programs."`
}

func (l listCmd) Run(o *output) error {
	entries, err := scenarios.Files.ReadDir(".")
	if err != nil {
		return err
	}
	type row struct {
		Name  string  `json:"name"`
		About string  `json:"about"`
		S     float64 `json:"length_s"`
	}
	var rows []row
	for _, e := range entries {
		s, err := load(strings.TrimSuffix(e.Name(), ".toml"))
		if err != nil {
			return err
		}
		rows = append(rows, row{s.Name, s.About, s.Length.D().Seconds()})
	}
	if l.JSON {
		return writeJSON(o.out, rows)
	}
	for _, r := range rows {
		fmt.Fprintf(o.out, "%-14s %3.0f s  %s\n", r.Name, r.S, r.About)
	}
	return nil
}

func writeJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", " ")
	return e.Encode(v)
}

type checkCmd struct {
	File string `arg:"" help:"A scenario file, or a shipped one's name."`
	Seed uint64 `help:"Draw the schedule from this seed, not from the file's."`
	JSON bool   `name:"json" help:"For programs."`
}

func (c checkCmd) Run(o *output) error {
	s, err := load(c.File)
	if err != nil {
		return err
	}
	seed := s.Seed
	if c.Seed != 0 {
		seed = c.Seed
	}
	p := rehearsal.Draw(s, seed)
	if c.JSON {
		return writeJSON(o.out, map[string]any{
			"scenario": s.Name, "seed": seed, "schedule": p.Digest(), "nodes": len(p.Nodes),
			"requests": len(p.Requests), "events": len(p.Events), "length_s": s.Length.D().Seconds(),
		})
	}
	fmt.Fprintf(o.out, "%s is good: %d nodes, %d requests and %d events in %v\nseed %d, schedule %s\n", s.Name, len(p.Nodes),
		len(p.Requests), len(p.Events), s.Length.D(), seed, p.Digest())
	return nil
}

type runCmd struct {
	Scenario string `arg:"" optional:"" default:"morning" help:"A shipped scenario's name, or a file."`
	Seed     uint64 `help:"Draw the schedule from this seed, not from the file's."`
	Out      string `help:"Leave report.json, report.html and the proxies' logs in this folder." placeholder:"DIR"`
	JSON     bool   `name:"json" help:"Print report.json in place of the table."`
	Marlreel string `help:"The daemon to play against; default: the one beside this program, or on PATH." placeholder:"PATH"`
	Baseline string `help:"Play against a stand-in in place of the daemon: random." enum:",random" default:"" placeholder:"random"`
}

func (r runCmd) Run(ctx context.Context, o *output) error {
	s, err := load(r.Scenario)
	if err != nil {
		return err
	}
	if r.Baseline != "" && r.Marlreel != "" {
		return errors.New("--baseline and --marlreel name two different proxies: give one")
	}
	if r.Baseline != "" && s.RPC() {
		return errors.New("--baseline speaks HTTP alone, and " + s.Name + " has classes that come by rpc")
	}
	options := rehearsal.Options{Seed: s.Seed, Out: r.Out, Name: "marlreel", Progress: o.progress(s.Name)}
	if r.Seed != 0 {
		options.Seed = r.Seed
	}
	if options.Command, options.Name, err = command(r.Marlreel, r.Baseline); err != nil {
		return err
	}
	rep, err := rehearsal.Run(ctx, s, options)
	o.clear()
	if err != nil {
		return err
	}
	if r.Out != "" {
		if err := rep.Write(r.Out); err != nil {
			return err
		}
	}
	if r.JSON {
		if err := writeJSON(o.out, rep); err != nil {
			return err
		}
	} else {
		io.WriteString(o.out, rep.Text())
		if r.Out != "" {
			fmt.Fprintf(o.out, "  report: %s\n", filepath.Join(r.Out, "report.html"))
		}
	}
	return verdict(rep)
}

// verdict is a report's exit code. Of a void run nothing is said.
func verdict(rep *rehearsal.Report) error {
	switch {
	case rep.Crashes > 0:
		return exit(exitBroken)
	case rep.Void != "":
		return exit(exitVoid)
	case !rep.OK():
		return exit(exitBroken)
	}
	return nil
}

// command is what starts a proxy, and its name in reports.
func command(marlreel, baseline string) ([]string, string, error) {
	if baseline != "" {
		self, err := os.Executable()
		return []string{self, "plain-proxy"}, "a proxy that picks at " + baseline, err
	}
	path, err := rehearsal.FindMarlreel(marlreel)
	return []string{path}, "marlreel", err
}

// progress writes a line that is written over once a second, on a terminal only.
func (o *output) progress(name string) func(rehearsal.Progress) {
	if !o.terminal {
		return nil
	}
	return func(p rehearsal.Progress) {
		switch {
		case p.Phase != "playing":
			fmt.Fprintf(o.err, "\r\x1b[K%s: %s", name, p.Phase)
		case p.Asked > 0:
			fmt.Fprintf(o.err, "\r\x1b[K%s: %2.0f of %.0f s, %d requests, %.1f%% of the worth served so far, %d nodes and %d proxies up",
				name, p.At.Seconds(), p.Length.Seconds(), p.Requests, 100*p.Served/p.Asked, p.Nodes, p.Proxies)
		}
	}
}

func (o *output) clear() {
	if o.terminal {
		fmt.Fprint(o.err, "\r\x1b[K")
	}
}

type compareCmd struct {
	A        string `arg:"" help:"A report folder, or a marlreel binary; or the word random, for the proxy that picks at random."`
	B        string `arg:"" help:"Another of the same kind."`
	Scenario string `default:"morning" help:"For binaries: what to play."`
	Runs     int    `default:"3" help:"For binaries: how often to play each, in turn."`
	Seed     uint64 `help:"For binaries: the seed of the first pair; each next pair has the next one."`
	JSON     bool   `name:"json" help:"For programs."`
}

func (c compareCmd) Run(ctx context.Context, o *output) error {
	isFolder := func(path string) bool {
		i, err := os.Stat(path)
		return err == nil && i.IsDir()
	}
	if isFolder(c.A) && isFolder(c.B) {
		a, err := rehearsal.ReadReport(c.A)
		if err != nil {
			return err
		}
		b, err := rehearsal.ReadReport(c.B)
		if err != nil {
			return err
		}
		return c.print(o, []*rehearsal.Report{a}, []*rehearsal.Report{b})
	}
	if c.Runs < 1 {
		return errors.New("--runs: 1 or more is needed")
	}
	s, err := load(c.Scenario)
	if err != nil {
		return err
	}
	seed := s.Seed
	if c.Seed != 0 {
		seed = c.Seed
	}
	var reports [2][]*rehearsal.Report
	for n := range c.Runs {
		for k, what := range []string{c.A, c.B} {
			marlreel, baseline := what, ""
			if what == "random" {
				marlreel, baseline = "", what
			}
			start, _, err := command(marlreel, baseline)
			if err != nil {
				return err
			}
			rep, err := rehearsal.Run(ctx, s, rehearsal.Options{
				Seed: seed + uint64(n), Command: start, Name: what,
				Progress: o.progress(fmt.Sprintf("%s, run %d of %d, %s", s.Name, n+1, c.Runs, "AB"[k:k+1])),
			})
			o.clear()
			if err != nil {
				return err
			}
			reports[k] = append(reports[k], rep)
		}
	}
	return c.print(o, reports[0], reports[1])
}

func (c compareCmd) print(o *output, a, b []*rehearsal.Report) error {
	d := rehearsal.Compare(a, b)
	if c.JSON {
		if err := writeJSON(o.out, d); err != nil {
			return err
		}
	} else {
		io.WriteString(o.out, d.Text(c.A, c.B))
	}
	for _, rep := range append(append([]*rehearsal.Report{}, a...), b...) {
		if err := verdict(rep); err != nil {
			return err
		}
	}
	return nil
}

type upCmd struct {
	Listen   string `default:"127.0.0.1:7800" help:"Where the proxy listens; a loopback address."`
	Nodes    int    `default:"4" help:"How many auction nodes."`
	Marlreel string `help:"The daemon; default: the one beside this program, or on PATH." placeholder:"PATH"`
}

func (u upCmd) Run(ctx context.Context, o *output) error {
	start, _, err := command(u.Marlreel, "")
	if err != nil {
		return err
	}
	s, err := load("calm")
	if err != nil {
		return err
	}
	return rehearsal.Up(ctx, s, rehearsal.UpOptions{Listen: u.Listen, Nodes: u.Nodes, Command: start, Out: o.out})
}

type plainCmd struct{}

func (plainCmd) Run(ctx context.Context) error {
	return standin.RunPlainProxy(ctx, os.Getenv("NODE_CONFIG"), standin.Faults{})
}
