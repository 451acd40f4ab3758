// Command marlreeld routes requests to model backends and places models on them. It is one program with a subcommand
// for each role (proxy, agent, control), and subcommands for operators, which call control.
//
// The platform starts the roles (deploy/system.toml), gives each its settings file (MARLREEL_SETTINGS), and ends them by
// SIGTERM. A role ends with status 0 after a graceful shutdown, and with 1 and one line on standard error otherwise.
package main

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"marlreel/internal/actionable"
	"marlreel/internal/agent"
	"marlreel/internal/controlplane"
	"marlreel/internal/dataplane/gateway"
)

func main() {
	if err := newCommand(os.Stderr).Execute(); err != nil {
		fmt.Fprintln(os.Stderr, actionable.Message(err))
		os.Exit(1)
	}
}

// newCommand returns the command line. Roles log to logs.
func newCommand(logs io.Writer) *cobra.Command {
	verbose := false
	root := &cobra.Command{
		Use: "marlreeld", Short: "route requests to model backends, and place models on them",
		SilenceUsage: true, SilenceErrors: true,
	}
	root.PersistentFlags().BoolVarP(&verbose, "verbose", "v", false, "log single decisions too")
	newRole := func(name, short string, run runRole) *cobra.Command {
		return &cobra.Command{
			Use: name, Short: short, Args: cobra.NoArgs,
			RunE: func(command *cobra.Command, _ []string) error {
				return startRole(command.Context(), newLogger(logs, verbose), run)
			},
		}
	}
	root.AddCommand(
		newRole("proxy", "carry clients' requests to backends", gateway.Run),
		newRole("agent", "keep a proxy's link to control", agent.Run),
		newRole("control", "keep configuration, membership and the backends' heartbeats", controlplane.Run))
	root.AddCommand(newOperatorCommands()...)
	return root
}
