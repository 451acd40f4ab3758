package main

import (
	"bytes"
	"testing"

	"github.com/matryer/is"

	"marlreel/internal/controlplane"
)

func TestQuotasArePrinted(t *testing.T) {
	is := is.New(t)
	report := &controlplane.QuotaReport{
		Quotas: []controlplane.QuotaStatus{
			{Subscriber: "harbor", Owner: "edge-1", RatePerS: 4200, BurstSize: 8400, Level: 120.4, Capacity: 17110, Granted: 9600, Refused: 3, OwnedMS: 12345},
			{Subscriber: "quay", Owner: "edge-2", RatePerS: 10},
		},
		Unresponsive: []string{"quota/3"},
	}
	var out bytes.Buffer
	is.NoErr(printQuotas(&out, report, "harbor"))
	is.Equal(out.String(), "tenant     a second  burst  level  of     granted  refused  owner   since\n"+
		"harbor     4200      8400   120    17110  9600     3        edge-1  12s\n"+
		"no answer  quota/3\n")
}
