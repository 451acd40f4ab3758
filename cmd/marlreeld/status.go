package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"marlreel/internal/controlplane"
	"marlreel/internal/controlplane/operatorclient"
)

func newStatus(flags *operatorFlags) *cobra.Command {
	asJSON := false
	command := &cobra.Command{
		Use: "status", Short: "show the chain, roles, nodes and backends, as a control process sees them",
		Args: cobra.NoArgs,
		RunE: flags.withClient(func(command *cobra.Command, client *operatorclient.Client, _ []string) error {
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
		}),
	}
	command.Flags().BoolVar(&asJSON, "json", false, "print it as JSON")
	return command
}

func printStatus(out io.Writer, s *controlplane.Status) error {
	table := newTable(out)
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
	for _, lease := range s.Leases {
		fmt.Fprintf(table, "role\t%s\t%s\tfence %d\n", lease.Key, lease.Holder, lease.FencingToken)
	}
	for _, node := range s.Nodes {
		fmt.Fprintf(table, "node\t%s\t%s\tsilent %d ms\n", node.Name, node.Zone, node.AgeMS)
	}
	fmt.Fprintf(table, "readers\t%s\n", strings.Join(s.Subscribers, " "))
	for i := range s.Backends {
		b := &s.Backends[i]
		fmt.Fprintf(table, "backend\t%s\t%s\t%s\t%s\tsilent %d ms\t%s\n", b.ID, b.Service, b.Zone, backendState(b), b.AgeMS,
			strings.Join(b.Models, " "))
	}
	return table.Flush()
}

// backendState says whether a backend takes its full share of requests.
func backendState(b *controlplane.BackendStatus) string {
	switch {
	case b.Draining:
		return "draining"
	case b.WarmupLeftMS > 0:
		return fmt.Sprintf("cold for %d ms", b.WarmupLeftMS)
	}
	return "in service"
}

// newTable returns a writer that aligns columns separated by tabs. It has to be flushed.
func newTable(out io.Writer) *tabwriter.Writer {
	const tabWidth, padding = 4, 2
	return tabwriter.NewWriter(out, 0, tabWidth, padding, ' ', 0)
}
