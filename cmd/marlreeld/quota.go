package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"marlreel/internal/controlplane"
	"marlreel/internal/controlplane/operatorclient"
)

func newQuotaShow(flags *operatorFlags) *cobra.Command {
	return &cobra.Command{
		Use: "show [TENANT]", Short: "show the quota of a tenant, or of all, as the owners count them", Args: cobra.MaximumNArgs(1),
		RunE: flags.withClient(func(command *cobra.Command, client *operatorclient.Client, args []string) error {
			body, err := client.Quotas(command.Context())
			if err != nil {
				return err
			}
			var report controlplane.QuotaReport
			if err := json.Unmarshal(body, &report); err != nil {
				return eris.Wrap(err, "reading the quotas")
			}
			return printQuotas(command.OutOrStdout(), &report, strings.Join(args, ""))
		}),
	}
}

// printQuotas prints the quota of a tenant, or of all tenants if subscriber is empty.
func printQuotas(out io.Writer, report *controlplane.QuotaReport, subscriber string) error {
	table := newTable(out)
	fmt.Fprintln(table, "tenant\ta second\tburst\tlevel\tof\tgranted\trefused\towner\tsince")
	for _, q := range report.Quotas {
		if subscriber != "" && q.Subscriber != subscriber {
			continue
		}
		since := time.Duration(q.OwnedMS) * time.Millisecond
		fmt.Fprintf(table, "%s\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%d\t%s\t%v\n", q.Subscriber, q.RatePerS, q.BurstSize, q.Level, q.Capacity,
			q.Granted, q.Refused, q.Owner, since.Round(time.Second))
	}
	if len(report.Unresponsive) > 0 {
		fmt.Fprintf(table, "no answer\t%s\n", strings.Join(report.Unresponsive, " "))
	}
	return table.Flush()
}
