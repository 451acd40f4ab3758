package scale

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

// The file testdata/compatibility/results.jsonl was written by the code of commit 6fb9894. It represents the
// stored raw figures of trials. It must not be regenerated to make a test pass.
//
// If the file is missing, this command writes it:
//
//	WRITE_COMPATIBILITY_FILES=1 go test -run TestCompatibility ./internal/testing/scale
//
// A file that exists is never overwritten.
const (
	compatibilityFile = "testdata/compatibility/results.jsonl"
	writeVariable     = "WRITE_COMPATIBILITY_FILES"
)

// storedResult returns the content of the stored file. Every field has a different value.
func storedResult() *Result {
	return &Result{
		Controls: 7, Proxies: 100, Backends: 1000, Models: 40, Zones: 3, Routes: 500,
		IdleUsage:         map[string]ResourceUsage{"control": {CPUPercent: 1.5, ResidentMB: 30.5, ReadKBps: 4.5, WriteKBps: 5.5}},
		ChangingUsage:     map[string]ResourceUsage{"agent": {CPUPercent: 6.5, ResidentMB: 7.5, ReadKBps: 8.5, WriteKBps: 9.5}},
		PropagationMS:     Percentiles{Median: 10.25, P99: 11.25, Max: 12.25},
		AcknowledgementMS: Percentiles{Median: 13.25, P99: 14.25, Max: 15.25},
		FailoverMS:        1600.75,
	}
}

// TestCompatibilityOfStoredResults checks that stored figures can be read, and that encoding gives the same bytes.
func TestCompatibilityOfStoredResults(t *testing.T) {
	const want = `{"controls":7,"proxies":100,"backends":1000,"models":40,"zones":3,"routes":500,` +
		`"idle":{"control":{"processor_percent":1.5,"resident_mb":30.5,"read_kb_per_s":4.5,"wrote_kb_per_s":5.5}},` +
		`"changing":{"agent":{"processor_percent":6.5,"resident_mb":7.5,"read_kb_per_s":8.5,"wrote_kb_per_s":9.5}},` +
		`"in_force_ms":{"p50":10.25,"p99":11.25,"worst":12.25},"acknowledge_ms":{"p50":13.25,"p99":14.25,"worst":15.25},"after_loss_ms":1600.75}` + "\n"
	var written bytes.Buffer
	if err := json.NewEncoder(&written).Encode(storedResult()); err != nil {
		t.Fatal(err)
	}
	if _, err := os.Stat(compatibilityFile); err != nil && os.Getenv(writeVariable) != "" {
		if err := os.MkdirAll(filepath.Dir(compatibilityFile), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(compatibilityFile, written.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	stored, err := os.ReadFile(compatibilityFile)
	if err != nil {
		t.Fatal(err)
	}
	if string(stored) != want {
		t.Errorf("the stored figures are\n%s\nwant\n%s", stored, want)
	}
	if !bytes.Equal(written.Bytes(), stored) {
		t.Errorf("the figures are written as\n%s\nand stored as\n%s", written.Bytes(), stored)
	}
	got := new(Result)
	if err := json.Unmarshal(stored, got); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, storedResult()) {
		t.Errorf("the figures are\n%+v\nwant\n%+v", got, storedResult())
	}
}
