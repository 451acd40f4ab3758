package main

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"marlreel/internal/controlplane/configuration"
	"marlreel/internal/controlplane/operatorclient"
)

func newConfigCheck() *cobra.Command {
	return &cobra.Command{
		Use: "check FILE", Short: "name all that is wrong with a configuration, without sending it",
		Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			data, err := readFile(command, args[0])
			if err != nil {
				return err
			}
			document, violations := configuration.Validate(data)
			for _, violation := range violations {
				fmt.Fprintf(command.OutOrStdout(), "%d %s: %s (%s)\n", violation.Code, violation.Code, violation.Detail, violation.Advice())
			}
			if len(violations) > 0 {
				return &InvalidConfigurationError{Violations: len(violations)}
			}
			_, err = fmt.Fprintf(command.OutOrStdout(), "version %d: %d routes, %d services, no fault\n", document.Version,
				len(document.Routes), len(document.Services))
			return err
		},
	}
}

func newConfigRead(flags *operatorFlags) *cobra.Command {
	return &cobra.Command{
		Use: "read", Short: "print the newest configuration", Args: cobra.NoArgs,
		RunE: flags.withClient(func(command *cobra.Command, client *operatorclient.Client, _ []string) error {
			document, err := client.ReadConfiguration(command.Context())
			if err != nil {
				return err
			}
			_, err = fmt.Fprintln(command.OutOrStdout(), string(document))
			return err
		}),
	}
}

func newConfigApply(flags *operatorFlags) *cobra.Command {
	base := uint64(0)
	modify := false
	command := &cobra.Command{
		Use: "apply FILE", Short: "put a configuration in force, or with --modify a change of named items",
		Args: cobra.ExactArgs(1),
		RunE: flags.withClient(func(command *cobra.Command, client *operatorclient.Client, args []string) error {
			data, err := readFile(command, args[0])
			if err != nil {
				return err
			}
			apply := client.ReplaceConfiguration
			if modify {
				apply = client.ModifyConfiguration
			}
			return printAccepted(command, apply(command.Context(), base, data))
		}),
	}
	command.Flags().Uint64Var(&base, "base", 0, "the version that this one builds on; 0 for the first")
	command.Flags().BoolVar(&modify, "modify", false, "the file holds upsert and remove instead of a whole configuration")
	return command
}

func newConfigDiff(flags *operatorFlags) *cobra.Command {
	asJSON := false
	command := &cobra.Command{
		Use: "diff [OLD] NEW", Args: cobra.RangeArgs(1, 2),
		Short: "show in what a configuration differs from another, or from the one at control",
		Example: "  marlreeld config diff old.json new.json\n" +
			"  marlreeld config diff new.json --control 10.1.0.2:8082",
		RunE: func(command *cobra.Command, args []string) error {
			oldFile := "" // from control
			if len(args) == 2 {
				oldFile = args[0]
			}
			differences, err := compareDocuments(command, flags, oldFile, args[len(args)-1])
			if err != nil {
				return err
			}
			if asJSON {
				return printJSON(command.OutOrStdout(), differences)
			}
			return printDifferences(command.OutOrStdout(), differences)
		},
	}
	command.Flags().BoolVar(&asJSON, "json", false, "print it as JSON")
	return command
}

func compareDocuments(command *cobra.Command, flags *operatorFlags, oldFile, newFile string) ([]configuration.Difference, error) {
	before, err := readDocument(command, flags, oldFile)
	if err != nil {
		return nil, err
	}
	after, err := readFile(command, newFile)
	if err != nil {
		return nil, err
	}
	differences, failure := configuration.Diff(before, after)
	if failure != nil {
		return nil, failure
	}
	return differences, nil
}

func printJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", " ")
	return encoder.Encode(value)
}

func printDifferences(out io.Writer, differences []configuration.Difference) error {
	if len(differences) == 0 {
		_, err := fmt.Fprintln(out, "no difference")
		return err
	}
	table := newTable(out)
	for _, d := range differences {
		fmt.Fprintf(table, "%s\t%s\t%s\n", d.Kind, d.Path, formatChange(d))
	}
	return table.Flush()
}

// formatChange returns a difference's old and new value.
func formatChange(d configuration.Difference) string {
	if d.Kind == configuration.Changed {
		return fmt.Sprintf("%s -> %s", d.Old, d.New)
	}
	return string(d.Old) + string(d.New)
}
