package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"marlreel/internal/controlplane"
	"marlreel/internal/controlplane/configuration"
	"marlreel/internal/controlplane/operatorclient"
	"marlreel/internal/process/host"
)

// UsageError is a call that can't be carried out as it is.
type UsageError struct{ Reason string }

// Error implements error.
func (e *UsageError) Error() string { return e.Reason }

// Advice is what can be done about it.
func (e *UsageError) Advice() string { return "marlreeld -h says more" }

// InvalidError is a configuration with faults. They have been printed.
type InvalidError struct{ Faults int }

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("the configuration has %d faults", e.Faults)
}

// Advice is what can be done about it.
func (e *InvalidError) Advice() string {
	return "mend what is listed; docs/CODES.md explains the codes"
}

// operatorFlags are those of commands that call control.
type operatorFlags struct {
	controls []string
	patience time.Duration
}

func (f *operatorFlags) add(command *cobra.Command) {
	command.PersistentFlags().StringSliceVar(&f.controls, "control", nil, "addresses of control processes, HOST:PORT, with commas")
	command.PersistentFlags().DurationVar(&f.patience, "patience", 10*time.Second, "how long to go on without a clear answer")
}

func (f *operatorFlags) client() (*operatorclient.Client, error) {
	if len(f.controls) == 0 {
		return nil, &UsageError{"--control names no control process"}
	}
	return operatorclient.NewClient(f.controls, f.patience, host.OSNetwork{}.Dial), nil
}

// newOperatorCommands are the commands for whoever operates the system.
func newOperatorCommands() []*cobra.Command {
	flags := &operatorFlags{}
	config := &cobra.Command{Use: "config", Short: "check, compare, read and change the configuration"}
	config.AddCommand(newConfigCheck(), newConfigRead(flags), newConfigApply(flags), newConfigDiff(flags))
	flags.add(config)
	zone := &cobra.Command{Use: "zone", Short: "evacuate a zone, or take that back"}
	zone.AddCommand(newZone(flags, "evacuate", "send nothing more to the backends of a zone", true),
		newZone(flags, "restore", "end the evacuation of a zone", false))
	flags.add(zone)
	route := &cobra.Command{Use: "route", Short: "look at routes"}
	route.AddCommand(newRouteExplain(flags))
	flags.add(route)
	status := newStatus(flags)
	flags.add(status)
	bundle := newBundle(flags)
	flags.add(bundle)
	return []*cobra.Command{config, zone, route, status, bundle}
}

// readFile reads a file, or standard input for "-".
func readFile(command *cobra.Command, path string) ([]byte, error) {
	if path == "-" {
		data, err := io.ReadAll(command.InOrStdin())
		return data, eris.Wrap(err, "reading standard input")
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &UsageError{err.Error()}
	}
	return data, nil
}

func newConfigCheck() *cobra.Command {
	return &cobra.Command{
		Use: "check FILE", Short: "name all that is wrong with a configuration, without sending it",
		Args: cobra.ExactArgs(1), RunE: func(command *cobra.Command, args []string) error {
			data, err := readFile(command, args[0])
			if err != nil {
				return err
			}
			document, faults := configuration.Validate(data)
			for _, fault := range faults {
				fmt.Fprintf(command.OutOrStdout(), "%d %s: %s (%s)\n", fault.Code, fault.Code, fault.Detail, fault.Advice())
			}
			if len(faults) > 0 {
				return &InvalidError{len(faults)}
			}
			fmt.Fprintf(command.OutOrStdout(), "version %d: %d routes, %d services, no fault\n", document.Version,
				len(document.Routes), len(document.Services))
			return nil
		},
	}
}

func newConfigRead(flags *operatorFlags) *cobra.Command {
	return &cobra.Command{
		Use: "read", Short: "print the newest configuration", Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			client, err := flags.client()
			if err != nil {
				return err
			}
			document, err := client.ReadConfiguration(command.Context())
			if err != nil {
				return err
			}
			_, err = fmt.Fprintln(command.OutOrStdout(), string(document))
			return err
		},
	}
}

func newConfigApply(flags *operatorFlags) *cobra.Command {
	base, modify := uint64(0), false
	command := &cobra.Command{
		Use: "apply FILE", Short: "put a configuration in force, or with --modify a change of named items",
		Args: cobra.ExactArgs(1), RunE: func(command *cobra.Command, args []string) error {
			client, err := flags.client()
			if err != nil {
				return err
			}
			data, err := readFile(command, args[0])
			if err != nil {
				return err
			}
			apply := client.ReplaceConfiguration
			if modify {
				apply = client.ModifyConfiguration
			}
			if err := apply(command.Context(), base, data); err != nil {
				return err
			}
			_, err = fmt.Fprintln(command.OutOrStdout(), "taken")
			return err
		},
	}
	command.Flags().Uint64Var(&base, "base", 0, "the version that this one builds on; 0 for the first")
	command.Flags().BoolVar(&modify, "modify", false, "the file holds upsert and remove instead of a whole configuration")
	return command
}

func newZone(flags *operatorFlags, use, short string, begin bool) *cobra.Command {
	return &cobra.Command{
		Use: use + " ZONE", Short: short, Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			client, err := flags.client()
			if err != nil {
				return err
			}
			change := client.EndEvacuation
			if begin {
				change = client.BeginEvacuation
			}
			if err := change(command.Context(), args[0]); err != nil {
				return err
			}
			_, err = fmt.Fprintln(command.OutOrStdout(), "taken")
			return err
		},
	}
}

func newStatus(flags *operatorFlags) *cobra.Command {
	asJSON := false
	command := &cobra.Command{
		Use: "status", Short: "show the chain, roles, nodes and backends, as a control process sees them",
		Args: cobra.NoArgs, RunE: func(command *cobra.Command, _ []string) error {
			client, err := flags.client()
			if err != nil {
				return err
			}
			body, err := client.Status(command.Context())
			if err != nil {
				return err
			}
			if asJSON {
				_, err = fmt.Fprintln(command.OutOrStdout(), string(body))
				return err
			}
			var status controlplane.Status
			if err := json.Unmarshal(body, &status); err != nil {
				return eris.Wrap(err, "reading the status")
			}
			return printStatus(command.OutOrStdout(), &status)
		},
	}
	command.Flags().BoolVar(&asJSON, "json", false, "print it as JSON")
	return command
}

func printStatus(out io.Writer, s *controlplane.Status) error {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(table, "as seen by\t%s\tconnected %v\n", s.Node, s.Connected)
	fmt.Fprintf(table, "chain\tview %d\thead %s\ttail %s\t%d entries\n", s.View, s.Head, s.Tail, s.Committed)
	fmt.Fprintf(table, "members\t%s\n", strings.Join(s.Members, " "))
	fmt.Fprintf(table, "hold all\t%s\n", strings.Join(s.Chain, " "))
	if s.CatchingUp != "" {
		fmt.Fprintf(table, "catching up\t%s\n", s.CatchingUp)
	}
	if s.Leaving {
		fmt.Fprintln(table, "leaving\tthis process is about to end")
	}
	fmt.Fprintf(table, "configuration\tversion %d\tevacuated: %s\n", s.Version, strings.Join(s.Evacuated, " "))
	for _, role := range s.Leases {
		fmt.Fprintf(table, "role\t%s\t%s\tfence %d\n", role.Key, role.Holder, role.FencingToken)
	}
	for _, node := range s.Nodes {
		fmt.Fprintf(table, "node\t%s\t%s\tsilent %d ms\n", node.Name, node.Zone, node.AgeMS)
	}
	fmt.Fprintf(table, "readers\t%s\n", strings.Join(s.Subscribers, " "))
	for _, b := range s.Backends {
		state := "in service"
		switch {
		case b.Draining:
			state = "draining"
		case b.WarmupLeftMS > 0:
			state = fmt.Sprintf("cold for %d ms", b.WarmupLeftMS)
		}
		fmt.Fprintf(table, "backend\t%s\t%s\t%s\t%s\tsilent %d ms\t%s\n", b.ID, b.Service, b.Zone, state, b.AgeMS,
			strings.Join(b.Models, " "))
	}
	return table.Flush()
}
