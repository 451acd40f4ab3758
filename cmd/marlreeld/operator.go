package main

import (
	"io"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"marlreel/internal/controlplane/operatorclient"
	"marlreel/internal/process/host"
)

// defaultPatience is the default of --patience: how long a call to control is retried.
const defaultPatience = 10 * time.Second

// operatorFlags are the flags of the commands that call control.
type operatorFlags struct {
	controls []string      // HOST:PORT
	patience time.Duration // how long a call is retried
}

func (f *operatorFlags) addTo(command *cobra.Command) {
	command.PersistentFlags().StringSliceVar(&f.controls, "control", nil, "addresses of control processes, HOST:PORT, with commas")
	command.PersistentFlags().DurationVar(&f.patience, "patience", defaultPatience, "how long to go on without a clear answer")
}

func (f *operatorFlags) newClient() (*operatorclient.Client, error) {
	if len(f.controls) == 0 {
		return nil, &UsageError{Reason: "--control is missing: give the address of at least one control process"}
	}
	return operatorclient.NewClient(f.controls, f.patience, host.OSNetwork{}.Dial), nil
}

// withClient returns a cobra RunE that calls run with a client of the control processes.
func (f *operatorFlags) withClient(
	run func(command *cobra.Command, client *operatorclient.Client, args []string) error,
) func(*cobra.Command, []string) error {
	return func(command *cobra.Command, args []string) error {
		client, err := f.newClient()
		if err != nil {
			return err
		}
		return run(command, client, args)
	}
}

// newOperatorCommands returns the commands for operators.
func newOperatorCommands() []*cobra.Command {
	flags := &operatorFlags{}
	config := &cobra.Command{Use: "config", Short: "check, compare, read and change the configuration"}
	config.AddCommand(newConfigCheck(), newConfigRead(flags), newConfigApply(flags), newConfigDiff(flags))
	zone := &cobra.Command{Use: "zone", Short: "evacuate a zone, or take that back"}
	zone.AddCommand(newZoneEvacuate(flags), newZoneRestore(flags))
	route := &cobra.Command{Use: "route", Short: "look at routes"}
	route.AddCommand(newRouteExplain(flags))
	quota := &cobra.Command{Use: "quota", Short: "look at tenants' quotas"}
	quota.AddCommand(newQuotaShow(flags))
	commands := []*cobra.Command{config, zone, route, newSubscribers(flags), quota, newStatus(flags), newBundle(flags)}
	for _, command := range commands {
		flags.addTo(command)
	}
	return commands
}

// readFile reads a file, or standard input for "-".
func readFile(command *cobra.Command, path string) ([]byte, error) {
	if path == "-" {
		data, err := io.ReadAll(command.InOrStdin())
		return data, eris.Wrap(err, "reading standard input")
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &UsageError{Reason: err.Error()}
	}
	return data, nil
}

// readDocument reads a configuration from a file, or from control if file is empty.
func readDocument(command *cobra.Command, flags *operatorFlags, file string) ([]byte, error) {
	if file != "" {
		return readFile(command, file)
	}
	client, err := flags.newClient()
	if err != nil {
		return nil, err
	}
	return client.ReadConfiguration(command.Context())
}
