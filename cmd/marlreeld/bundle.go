package main

import (
	"fmt"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
	"go.uber.org/multierr"

	"marlreel/internal/controlplane/operatorclient"
)

// newBundle writes a support bundle.
func newBundle(flags *operatorFlags) *cobra.Command {
	var metrics []string
	command := &cobra.Command{
		Use: "bundle FILE", Args: cobra.ExactArgs(1),
		Short: "write a support bundle: status, configuration and metrics, nothing of requests",
		Example: "  marlreeld bundle support.tar.gz --control 10.1.0.2:8082,10.2.0.2:8082 \\\n" +
			"    --metrics 10.1.0.2:7673,10.1.0.35:7675,10.1.0.35:7674",
		RunE: func(command *cobra.Command, args []string) (failed error) {
			client, err := flags.client()
			if err != nil {
				return err
			}
			file, err := os.OpenFile(args[0], os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
			if err != nil {
				return &UsageError{err.Error()}
			}
			defer func() { failed = multierr.Append(failed, eris.Wrapf(file.Close(), "closing %s", args[0])) }()
			manifest, err := client.WriteBundle(command.Context(), file, operatorclient.BundleOptions{MetricsAddresses: metrics, Now: time.Now()})
			if err != nil {
				return err
			}
			for _, part := range manifest.Parts {
				if part.Error != "" {
					fmt.Fprintf(command.OutOrStdout(), "missing  %s: %s\n", part.Name, part.Error)
				}
			}
			_, err = fmt.Fprintf(command.OutOrStdout(), "%d of %d parts are in %s\n", len(manifest.Parts)-manifest.MissingParts(),
				len(manifest.Parts), args[0])
			return err
		},
	}
	command.Flags().StringSliceVar(&metrics, "metrics", nil, "doors for metrics to be read, HOST:PORT, with commas")
	return command
}
