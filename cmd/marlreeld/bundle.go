package main

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
	"go.uber.org/multierr"

	"marlreel/internal/controlplane/operatorclient"
)

// newBundle returns the command that writes a support bundle.
func newBundle(flags *operatorFlags) *cobra.Command {
	var metrics []string
	command := &cobra.Command{
		Use: "bundle FILE", Args: cobra.ExactArgs(1),
		Short: "write a support bundle: status, configuration and metrics, nothing of requests",
		Example: "  marlreeld bundle support.tar.gz --control 10.1.0.2:8082,10.2.0.2:8082 \\\n" +
			"    --metrics 10.1.0.2:7673,10.1.0.35:7675,10.1.0.35:7674",
		RunE: flags.withClient(func(command *cobra.Command, client *operatorclient.Client, args []string) error {
			manifest, err := writeBundle(command, client, args[0], metrics)
			if err != nil {
				return err
			}
			return printManifest(command.OutOrStdout(), manifest, args[0])
		}),
	}
	command.Flags().StringSliceVar(&metrics, "metrics", nil, "doors for metrics to be read, HOST:PORT, with commas")
	return command
}

// writeBundle writes a bundle to a new file.
func writeBundle(command *cobra.Command, client *operatorclient.Client, path string, metrics []string) (*operatorclient.Manifest, error) {
	const ownerOnly = 0o600
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, ownerOnly)
	if err != nil {
		return nil, &UsageError{Reason: err.Error()}
	}
	options := operatorclient.BundleOptions{MetricsAddresses: metrics, Now: time.Now()}
	manifest, err := client.WriteBundle(command.Context(), file, options)
	return manifest, multierr.Append(err, eris.Wrapf(file.Close(), "closing %s", path))
}

func printManifest(out io.Writer, manifest *operatorclient.Manifest, path string) error {
	for _, part := range manifest.Parts {
		if part.Error != "" {
			fmt.Fprintf(out, "missing  %s: %s\n", part.Name, part.Error)
		}
	}
	_, err := fmt.Fprintf(out, "%d of %d parts are in %s\n", len(manifest.Parts)-manifest.MissingParts(), len(manifest.Parts), path)
	return err
}
