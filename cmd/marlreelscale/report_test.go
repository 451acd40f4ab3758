package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"marlreel/internal/testing/scale"
)

// testResults returns results of trials with four numbers of proxies, and one with another number of backends.
func testResults() []*scale.Result {
	var results []*scale.Result
	for i, sizes := range [][2]int{{25, 50}, {50, 50}, {100, 50}, {200, 50}, {25, 100}} {
		n := float64(i + 1)
		usage := map[string]scale.ResourceUsage{}
		for j, role := range []string{"control", "agent", "proxy"} {
			usage[role] = scale.ResourceUsage{CPUPercent: n * float64(j+1), ResidentMB: 20 + n*n, ReadKBps: 7 * n, WriteKBps: 9 * n}
		}
		results = append(results, &scale.Result{
			Proxies: sizes[0], Backends: sizes[1], Routes: 20, IdleUsage: usage, ChangingUsage: usage,
			PropagationMS:     scale.Percentiles{Median: 10 * n, P99: 20 * n, Max: 30 * n},
			AcknowledgementMS: scale.Percentiles{Median: n, P99: 2 * n, Max: 3 * n}, FailoverMS: 700 * n,
		})
	}
	return results
}

// testdata/report.txt holds the report as printed before printReport was split into functions.
func TestReport(t *testing.T) {
	var out bytes.Buffer
	if err := printReport(&out, testResults()); err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile(filepath.Join("testdata", "report.txt"))
	if err != nil {
		t.Fatal(err)
	}
	if out.String() != string(want) {
		t.Errorf("printed\n%s\nwant\n%s", &out, want)
	}
}

// One list is varied at a time, from the first values of all.
func TestConfigsVaryOneSizeAtATime(t *testing.T) {
	configs := configsOf(scale.Config{Controls: 3}, sizes{proxies: []int{1, 2}, backends: []int{5, 6, 7}, routes: []int{9}})
	var got []string
	for _, cfg := range configs {
		got = append(got, fmt.Sprint(cfg.Controls, cfg.Proxies, cfg.Backends, cfg.Routes))
	}
	if want := "[3 1 5 9 3 2 5 9 3 1 6 9 3 1 7 9]"; fmt.Sprint(got) != want {
		t.Errorf("the sizes are %v, want %s", got, want)
	}
}
