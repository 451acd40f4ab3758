// Marlreel is the proxy: it reads its configuration from $NODE_CONFIG and serves
// until it is told to stop. SIGHUP makes it read the configuration again.
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

const usage = `Marlreel keeps a service up while its backends, its own instances and its traffic
misbehave: an HTTP proxy for a small bank of instances in front of uneven backends.

  NODE_CONFIG=config.json marlreel                                 serve
  NODE_CONFIG=config.json marlreel --config marlreel.toml          serve, with what the file sets
  marlreel --check --config marlreel.toml                          check the file, start nothing

$NODE_CONFIG names what the platform says (addresses, limits, settings, the list as
last held); $NODE_NAME, $NODE_LISTEN, $NODE_DISCOVERY and $NODE_CONTROL go before it.
$NODE_SOCKET_FD names the descriptor of the clients' listener, where the platform
holds it. To see it work on this machine without any of that: rehearse up, or
rehearse run.

SIGTERM ends it gently: it goes on accepting for a moment, answers what it has taken,
and exits with 0. SIGHUP makes it read $NODE_CONFIG again; new settings are in force
at once, and a new address of discovery takes over with its first list; of the file of
--config it takes a registry, another one, or none.

marlreel state show FILE, marlreel state check FILE: what a proxy's memory holds ([memory]
of the file of --config).

Exit codes: 0 ended as told (or the check was good), 1 it could not start or go on, 2
wrong use.
`

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// flags are what the command line says.
type flags struct {
	config         string
	check, version bool
}

func parse(args []string, out io.Writer) (flags, error) {
	var f flags
	set := flag.NewFlagSet("marlreel", flag.ContinueOnError)
	set.SetOutput(io.Discard) // an error is one line, and help goes where it was asked for
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
		return f, fmt.Errorf("%q: no words are expected", set.Arg(0))
	case f.check && f.config == "":
		return f, errors.New("--check wants --config FILE")
	}
	return f, nil
}

// version is the module's version and the revision that it was built from, where the
// build knew them.
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
		fmt.Fprintf(errOut, "marlreel: %v (marlreel -h says more)\n", err)
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
	// Before anything else: until then the signal ends the process. One signal in
	// hand is enough, as the file is read after it.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	own, err := config.LoadOperator(f.config)
	if err != nil {
		return err
	}
	if f.check && os.Getenv("NODE_CONFIG") == "" {
		fmt.Fprintf(out, "%s is good; without $NODE_CONFIG it was not held against the platform's settings\n", f.config)
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
		fmt.Fprintf(out, "%s is good\n", f.config)
		return nil
	}
	// The runtime sees the machine's cores, not this process's part of them.
	if cfg.Cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(cfg.Cores)))
	}
	if own.Fleet.On() {
		// A disk that is full is an error of a write, and not the end of the process.
		signal.Ignore(syscall.SIGXFSZ)
	}
	logger := logs.New(os.Stderr, own.Log.Format)
	return proxy.Run(ctx, cfg, own, logger, proxy.Reloads(ctx, reload, os.Getenv("NODE_CONFIG"), f.config, os.Getenv))
}
