package rehearsal

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"
)

// The file testdata/compatibility/report.json was written by the code of commit 6fb9894. It represents reports that
// people have stored to compare builds. It must not be regenerated to make a test pass: if this test fails, the
// code can no longer read stored reports.
//
// If the file is missing, it is written by
//
//	WRITE_COMPATIBILITY_FILES=1 go test -run TestCompatibility ./internal/rehearsal
//
// A file that exists is never overwritten.
const (
	compatibilityFolder = "testdata/compatibility"
	writeVariable       = "WRITE_COMPATIBILITY_FILES"
)

// storedReport returns the report in the stored file. Every field has a different value.
func storedReport() *Report {
	recovery := 17.5
	return &Report{
		Scenario:    "storm",
		About:       "a storm of retries",
		Proxy:       "marlreel",
		Seed:        1 << 39,
		Schedule:    "5c4e1f",
		LengthS:     40.5,
		Service:     0.875,
		Parts:       Parts{Whole: 0.9, Window: 0.8, Class: 0.7, House: 0.6, WorstClass: "batch", WorstHouse: "tenant-b"},
		Worth:       Worth{Asked: 100.5, Served: 90.5, Refused: 5.5, Failed: 3.5, Late: 1.5},
		WorstWindow: Window{FromS: 12.5, Service: 0.25},
		Recovery:    &recovery,
		Best:        &Best{FromS: 20.5, Area: 0.95, Seconds: []float64{1.5, 2.5}, Nodes: 3},
		Classes: map[string]Tally{"interactive": {
			Worth:   Worth{Asked: 60.5, Served: 55.5, Refused: 2.5, Failed: 1.25, Late: 0.75},
			Service: 0.91, Requests: 600, P50: 101.5, P95: 202.5, P99: 303.5, MostMs: 404.5, AimMs: 800,
		}},
		Houses:      map[string]Tally{"tenant-b": {Service: 0.61, Requests: 40}},
		Deductions:  map[string]float64{"crashes": 4.5, "rules": 2},
		After:       0.81,
		Rules:       Rulings{Lost: 1, Duplicated: 2, Drains: 3, Cold: 4, Settings: 5},
		Breaks:      []Break{{Rule: "lost", What: "an answer is lost", ID: "r7", Class: "batch", Node: "llm-1", Proxy: -1, At: 7 * time.Second, Since: 6 * time.Second}, {Rule: "cold", What: "too much"}},
		Crashes:     2,
		Crashed:     []string{"proxy 1", "proxy 2"},
		Void:        "the machine was too slow",
		Requests:    1001,
		Tries:       1102,
		Attempts:    1203,
		Probes:      304,
		Handshakes:  55,
		GeneratorMs: 6.5,
		GeneratorMx: 77.5,
		Falls:       8,
		Clients:     ClientFigures{Outcomes: map[string]int{"answered": 900, "refused": 101}, Connections: 66, MostOpen: 44},
		Kit:         Usage{CPU: 9.5, MemoryMB: 120.5},
		Proxies:     []Usage{{CPU: 10.5, MemoryMB: 60.5}},
		Note:        "a note",
		Timeline: Timeline{
			Seconds: []Worth{{Asked: 1.5, Served: 1.25, Refused: 0.125, Failed: 0.0625, Late: 0.03125}},
			Latency: map[string][]Percentile{"interactive": {{AtS: 2, P50: 11.5, P95: 22.5, P99: 33.5}}},
			Nodes:   []NodeLine{{ID: "llm-1", Zone: "a", Kind: "large", Speed: 1.75, State: []string{"up", "fallen"}, Share: []float64{0.5, 0}}},
			Faults:  []Mark{{What: "die llm-1", FromS: 3.5, ToS: 4.5}},
			Proxies: []Mark{{What: "proxy 0", FromS: 0, ToS: 40.5}},
		},
	}
}

// TestCompatibilityOfStoredReport reads the stored report and compares it field by field.
func TestCompatibilityOfStoredReport(t *testing.T) {
	writeMissingReport(t)
	got, err := ReadReport(compatibilityFolder)
	if err != nil {
		t.Fatal(err)
	}
	gotFields, wantFields := reflect.ValueOf(*got), reflect.ValueOf(*storedReport())
	for i := range wantFields.NumField() {
		if !reflect.DeepEqual(gotFields.Field(i).Interface(), wantFields.Field(i).Interface()) {
			t.Errorf("%s is\n%+v\nwant\n%+v", wantFields.Type().Field(i).Name, gotFields.Field(i), wantFields.Field(i))
		}
	}
}

// TestCompatibilityOfWrittenReport checks that a written report is equal to the stored one, as other programs read it too.
func TestCompatibilityOfWrittenReport(t *testing.T) {
	writeMissingReport(t)
	stored, err := os.ReadFile(filepath.Join(compatibilityFolder, "report.json"))
	if err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	if err := storedReport().Write(folder); err != nil {
		t.Fatal(err)
	}
	written, err := os.ReadFile(filepath.Join(folder, "report.json"))
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(written, stored) {
		t.Errorf("written is\n%s\nand stored is\n%s", written, stored)
	}
	if _, err := os.Stat(filepath.Join(folder, "report.html")); err != nil {
		t.Error(err)
	}
}

// TestCompatibilityOfReportsFields checks the field names of the stored report without the types of this package.
func TestCompatibilityOfReportsFields(t *testing.T) {
	writeMissingReport(t)
	stored, err := os.ReadFile(filepath.Join(compatibilityFolder, "report.json"))
	if err != nil {
		t.Fatal(err)
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(stored, &fields); err != nil {
		t.Fatal(err)
	}
	names := []string{
		"scenario", "about", "proxy", "seed", "schedule", "length_s", "service", "parts", "worth", "worst_window", "recovery_s", "best",
		"classes", "houses", "deductions_points", "service_after_deductions", "rules", "breaks", "crashes", "crashed", "void", "requests", "tries",
		"attempts", "probes", "handshakes", "generator_late_ms", "generator_late_max_ms", "falls", "clients", "kit", "proxies", "note", "timeline",
	}
	for _, name := range names {
		if _, there := fields[name]; !there {
			t.Errorf("field %s is missing", name)
		}
	}
	if len(fields) != len(names) {
		t.Errorf("got %d fields, want %d", len(fields), len(names))
	}
}

// writeMissingReport writes the stored report if it is missing and the environment variable is set.
func writeMissingReport(t *testing.T) {
	t.Helper()
	path := filepath.Join(compatibilityFolder, "report.json")
	if _, err := os.Stat(path); err == nil || os.Getenv(writeVariable) == "" {
		return
	}
	if err := os.MkdirAll(compatibilityFolder, 0o755); err != nil {
		t.Fatal(err)
	}
	if err := storedReport().Write(compatibilityFolder); err != nil {
		t.Fatal(err)
	}
	// The HTML page is not read by the tests.
	if err := os.Remove(filepath.Join(compatibilityFolder, "report.html")); err != nil {
		t.Fatal(err)
	}
}
