package main

import (
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"marlreel/internal/controlplane/configuration"
)

// newRouteExplain returns the command that shows which route matches a request, and how it is treated.
func newRouteExplain(flags *operatorFlags) *cobra.Command {
	file := ""
	command := &cobra.Command{
		Use: "explain HOST PATH", Args: cobra.ExactArgs(2),
		Short: "show which route takes a request, and how it is treated",
		Example: "  marlreeld route explain chat.example /v1/ask --control 10.1.0.2:8082\n" +
			"  marlreeld route explain chat.example /v1/ask --file new.json",
		RunE: func(command *cobra.Command, args []string) error {
			data, err := readDocument(command, flags, file)
			if err != nil {
				return err
			}
			document, failure := configuration.Parse(data)
			if failure != nil {
				return failure
			}
			route := document.Match(args[0], args[1])
			if route == nil {
				return &NoRouteError{Host: args[0], Path: args[1]}
			}
			return printRoute(command.OutOrStdout(), document, route)
		},
	}
	command.Flags().StringVar(&file, "file", "", "go by this configuration, not by the one at control")
	return command
}

func printRoute(out io.Writer, document *configuration.Document, route *configuration.Route) error {
	table := newTable(out)
	fmt.Fprintf(table, "route\t%s\tversion %d\n", route.Name, document.Version)
	fmt.Fprintf(table, "taken by\thost %s\tpath prefix %s\n", route.Host, route.PathPrefix)
	printTargets(table, document, route)
	fmt.Fprintf(table, "class\t%s\tpriority %d\n", route.Class, route.Priority)
	fmt.Fprintf(table, "answered\twithin %s at most\taimed at %s\n", route.Timeout(), route.TargetLatency())
	retries := "what may have run is not sent again"
	if route.Idempotent() {
		retries = "may be sent again after it may have run"
	}
	fmt.Fprintf(table, "attempts\t%d at most\t%s\n", route.AttemptLimit(), retries)
	if route.Streaming() && route.Resumable {
		fmt.Fprintf(table, "stream\tgoes on at its last whole event where it breaks off\n")
	}
	return table.Flush()
}

// printTargets prints the services of a route with their shares, in percent.
func printTargets(out io.Writer, document *configuration.Document, route *configuration.Route) {
	total := 0.0
	route.EachService(func(_ string, weight float64) { total += weight })
	route.EachService(func(service string, weight float64) {
		const minTotal = 1e-9 // avoids a division by 0 if all weights are 0
		share := 100 * weight / max(total, minTotal)
		fmt.Fprintf(out, "goes to\t%s\t%.0f%%\t%s\n", service, share, formatModels(document.Service(service)))
	})
}

// formatModels lists the models of a service, only the first few if there are many.
func formatModels(service *configuration.Service) string {
	if service == nil || service.Engine == nil {
		return "plain backends"
	}
	names := make([]string, 0, len(service.Engine.Models))
	for _, model := range service.Engine.Models {
		names = append(names, model.Name)
	}
	const maxNamed = 8
	if more := len(names) - maxNamed; more > 0 {
		return fmt.Sprintf("models %s and %d more", strings.Join(names[:maxNamed], " "), more)
	}
	return "models " + strings.Join(names, " ")
}
