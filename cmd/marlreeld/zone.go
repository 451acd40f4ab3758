package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"marlreel/internal/controlplane/operatorclient"
)

func newZoneEvacuate(flags *operatorFlags) *cobra.Command {
	return &cobra.Command{
		Use: "evacuate ZONE", Short: "send nothing more to the backends of a zone", Args: cobra.ExactArgs(1),
		RunE: flags.withClient(func(command *cobra.Command, client *operatorclient.Client, args []string) error {
			return printAccepted(command, client.BeginEvacuation(command.Context(), args[0]))
		}),
	}
}

func newZoneRestore(flags *operatorFlags) *cobra.Command {
	return &cobra.Command{
		Use: "restore ZONE", Short: "end the evacuation of a zone", Args: cobra.ExactArgs(1),
		RunE: flags.withClient(func(command *cobra.Command, client *operatorclient.Client, args []string) error {
			return printAccepted(command, client.EndEvacuation(command.Context(), args[0]))
		}),
	}
}

// printAccepted prints that control has committed a change, or returns the error of the call.
func printAccepted(command *cobra.Command, err error) error {
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(command.OutOrStdout(), "taken")
	return err
}
