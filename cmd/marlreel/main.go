// Marlreel is the proxy: it reads its configuration from $NODE_CONFIG and serves
// until SIGTERM. SIGHUP makes it read the configuration again.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"marlreel/internal/actionable"
	"marlreel/internal/config"
	"marlreel/internal/process/logs"
	"marlreel/internal/proxy"
)

const usage = `Marlreel is an HTTP proxy and load balancer that keeps a service available when
backends, proxy instances or traffic misbehave. It runs as a small group of instances
in front of backends of unequal capacity.

  NODE_CONFIG=config.json marlreel                                 serve
  NODE_CONFIG=config.json marlreel --config marlreel.toml          serve, with the operator's settings
  marlreel --check --config marlreel.toml                          check the file and exit

$NODE_CONFIG names the platform's file (addresses, limits, settings, the last known
list of backends); $NODE_NAME, $NODE_LISTEN, $NODE_DISCOVERY and $NODE_CONTROL
override it. $NODE_SOCKET_FD is the descriptor of the client listener, if the platform
holds it. To try the proxy on this machine without any of that, use rehearse up or
rehearse run.

SIGTERM shuts it down gracefully: it keeps accepting for a moment, answers the requests
it has accepted, and exits with 0. SIGHUP makes it read $NODE_CONFIG and the file of
--config again. New settings apply at once, and a new discovery address replaces the
old one with its first list. In the file of --config only changes to the registry apply
at once.

marlreel state show FILE and marlreel state check FILE print and check a proxy's saved
learned state ([memory] in the file of --config).

Exit codes: 0 clean shutdown (or the check succeeded), 1 failed to start or to continue,
2 wrong usage.
`

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// flags are the options of the command line.
type flags struct {
	config         string
	check, version bool
}

func parse(args []string, out io.Writer) (flags, error) {
	var f flags
	set := flag.NewFlagSet("marlreel", flag.ContinueOnError)
	set.SetOutput(io.Discard) // run prints errors on one line, and parse prints the help to out
	set.StringVar(&f.config, "config", "", "")
	set.BoolVar(&f.check, "check", false, "")
	set.BoolVar(&f.version, "version", false, "")
	err := set.Parse(args)
	switch {
	case errors.Is(err, flag.ErrHelp):
		_, _ = io.WriteString(out, usage)
		return f, err
	case err != nil:
		return f, err
	case set.NArg() > 0:
		return f, fmt.Errorf("%q: unexpected argument", set.Arg(0))
	case f.check && f.config == "":
		return f, errors.New("--check needs --config FILE")
	}
	return f, nil
}

// version returns the module's version and the revision it was built from, as far as the
// build recorded them.
func version() string {
	text := "marlreel"
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return text
	}
	if v := info.Main.Version; v != "" {
		text += " " + v
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			text += " " + s.Value[:min(12, len(s.Value))]
		}
	}
	return text + " " + info.GoVersion
}

func run(args []string, out, errOut io.Writer) int {
	if len(args) > 0 && args[0] == "state" {
		if len(args) > 1 && (args[1] == "-h" || args[1] == "--help") {
			fmt.Fprintln(out, stateUsage)
			return 0
		}
		return state(args[1:], out, errOut)
	}
	f, err := parse(args, out)
	switch {
	case errors.Is(err, flag.ErrHelp):
		return 0
	case err != nil:
		fmt.Fprintf(errOut, "marlreel: %v (see marlreel -h)\n", err)
		return 2
	case f.version:
		fmt.Fprintln(out, version())
		return 0
	}
	if err := serve(f, out); err != nil {
		fmt.Fprintln(errOut, "marlreel:", actionable.Message(err))
		return 1
	}
	return 0
}

func serve(f flags, out io.Writer) error {
	// Must come first: until SIGHUP is caught it ends the process. A buffer of one signal
	// is enough, because the file is read after the signal.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	own, err := config.LoadOperator(f.config)
	if err != nil {
		return err
	}
	if f.check && os.Getenv("NODE_CONFIG") == "" {
		fmt.Fprintf(out, "%s is valid; $NODE_CONFIG is not set, so it was not checked against the platform's settings\n", f.config)
		return nil
	}
	cfg, err := config.LoadPlatform(os.Getenv("NODE_CONFIG"), os.Getenv)
	if err != nil {
		return err
	}
	if err := own.CheckAgainst(cfg); err != nil {
		return &config.OperatorFileError{Path: f.config, Err: err}
	}
	if f.check {
		fmt.Fprintf(out, "%s is valid\n", f.config)
		return nil
	}
	// The runtime sees the machine's cores, not this process's share of them.
	if cfg.Cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(cfg.Cores)))
	}
	if own.Fleet.On() {
		// A write beyond the file size limit then fails, like one to a full disk, and does not end the process.
		signal.Ignore(syscall.SIGXFSZ)
	}
	logger := logs.New(os.Stderr, own.Log.Format)
	return proxy.Run(ctx, cfg, own, logger, proxy.Reloads(ctx, reload, os.Getenv("NODE_CONFIG"), f.config, os.Getenv))
}
