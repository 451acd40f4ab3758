package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"marlreel/internal/controlplane/configuration"
)

// documentFrom reads a configuration from a file, or from control where none is named.
func documentFrom(command *cobra.Command, flags *operatorFlags, file string) ([]byte, error) {
	if file != "" {
		return readFile(command, file)
	}
	client, err := flags.client()
	if err != nil {
		return nil, err
	}
	return client.ReadConfiguration(command.Context())
}

// newConfigDiff shows in what two configurations differ.
func newConfigDiff(flags *operatorFlags) *cobra.Command {
	asJSON := false
	command := &cobra.Command{
		Use: "diff [OLD] NEW", Args: cobra.RangeArgs(1, 2),
		Short: "show in what a configuration differs from another, or from the one at control",
		Example: "  marlreeld config diff old.json new.json\n" +
			"  marlreeld config diff new.json --control 10.1.0.2:8082",
		RunE: func(command *cobra.Command, args []string) error {
			oldFile := ""
			if len(args) == 2 {
				oldFile = args[0]
			}
			old, err := documentFrom(command, flags, oldFile)
			if err != nil {
				return err
			}
			changed, err := readFile(command, args[len(args)-1])
			if err != nil {
				return err
			}
			differences, failed := configuration.Diff(old, changed)
			if failed != nil {
				return failed
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
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	for _, d := range differences {
		fmt.Fprintf(table, "%s\t%s\t%s\n", d.Kind, d.Path, changeOf(d))
	}
	return table.Flush()
}

// changeOf words what a difference is from and to.
func changeOf(d configuration.Difference) string {
	if d.Kind == configuration.Changed {
		return fmt.Sprintf("%s -> %s", d.Old, d.New)
	}
	return string(d.Old) + string(d.New)
}

// NoRouteError says that no route takes a request.
type NoRouteError struct{ Host, Path string }

// Error implements error.
func (e *NoRouteError) Error() string {
	return fmt.Sprintf("no route takes %s%s: it is answered with 404", e.Host, e.Path)
}

// Advice is what can be done about it.
func (e *NoRouteError) Advice() string {
	return "a route is taken by its host and by the longest path_prefix that begins the path"
}

// newRouteExplain shows which route takes a request, and how it is treated.
func newRouteExplain(flags *operatorFlags) *cobra.Command {
	file := ""
	command := &cobra.Command{
		Use: "explain HOST PATH", Args: cobra.ExactArgs(2),
		Short: "show which route takes a request, and how it is treated",
		Example: "  marlreeld route explain chat.example /v1/ask --control 10.1.0.2:8082\n" +
			"  marlreeld route explain chat.example /v1/ask --file new.json",
		RunE: func(command *cobra.Command, args []string) error {
			data, err := documentFrom(command, flags, file)
			if err != nil {
				return err
			}
			document, failed := configuration.Parse(data)
			if failed != nil {
				return failed
			}
			route := document.Match(args[0], args[1])
			if route == nil {
				return &NoRouteError{args[0], args[1]}
			}
			return printRoute(command.OutOrStdout(), document, route)
		},
	}
	command.Flags().StringVar(&file, "file", "", "go by this configuration, not by the one at control")
	return command
}

func printRoute(out io.Writer, document *configuration.Document, route *configuration.Route) error {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(table, "route\t%s\tversion %d\n", route.Name, document.Version)
	fmt.Fprintf(table, "taken by\thost %s\tpath prefix %s\n", route.Host, route.PathPrefix)
	total := 0.0
	route.EachService(func(_ string, weight float64) { total += weight })
	route.EachService(func(service string, weight float64) {
		fmt.Fprintf(table, "goes to\t%s\t%.0f%%\t%s\n", service, 100*weight/max(total, 1e-9), modelsOf(document.Service(service)))
	})
	fmt.Fprintf(table, "class\t%s\tpriority %d\n", route.Class, route.Priority)
	fmt.Fprintf(table, "answered\twithin %s at most\taimed at %s\n", route.Timeout(), route.TargetLatency())
	repeats := "what may have run is not sent again"
	if route.Idempotent() {
		repeats = "may be sent again after it may have run"
	}
	fmt.Fprintf(table, "attempts\t%d at most\t%s\n", route.AttemptLimit(), repeats)
	if route.Streaming() && route.Resumable {
		fmt.Fprintf(table, "stream\tgoes on at its last whole event where it breaks off\n")
	}
	return table.Flush()
}

// modelsOf words which models a service has.
func modelsOf(service *configuration.Service) string {
	if service == nil || service.Engine == nil {
		return "plain backends"
	}
	names := make([]string, 0, len(service.Engine.Models))
	for _, model := range service.Engine.Models {
		names = append(names, model.Name)
	}
	const mostNamed = 8
	if more := len(names) - mostNamed; more > 0 {
		return fmt.Sprintf("models %s and %d more", strings.Join(names[:mostNamed], " "), more)
	}
	return "models " + strings.Join(names, " ")
}
