package fleettest

import (
	"encoding/json"
	"os"
	"reflect"
	"strings"
	"testing"
)

// The file testdata/compatibility/trace.jsonl is a copy of the file of package proxy, which the code of commit 6fb9894
// wrote. It must not be regenerated to make a test pass: if this test fails, the auditor no longer reads the format that
// proxies write.

// TestCompatibilityOfStoredTraces parses a stored trace with one line of every kind.
func TestCompatibilityOfStoredTraces(t *testing.T) {
	data, err := os.ReadFile("testdata/compatibility/trace.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	texts := strings.Split(strings.TrimSuffix(string(data), "\n"), "\n")
	end := func(name string, revision int64) (e struct {
		Name     string `json:"name"`
		Revision int64  `json:"revision"`
	},
	) {
		e.Name, e.Revision = name, revision
		return e
	}
	want := []line{
		{At: 1790000000000000001, Seq: 41, Versions: []uint64{3, 4}},
		{At: 1790000000000000002},
		{At: 1790000000000000003, ID: "r-17", Class: "interactive", Attempt: 2, Node: "llm-3", Seq: 41, Strict: true},
	}
	want[1].Ends = append(want[1].Ends, end("llm-1", 76), end("llm-2", 7))
	if len(texts) != len(want) {
		t.Fatalf("the trace has %d lines, want %d", len(texts), len(want))
	}
	for i := range want {
		var got line
		if err := json.Unmarshal([]byte(texts[i]), &got); err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(got, want[i]) {
			t.Errorf("line %d is\n%+v\nwant\n%+v", i, got, want[i])
		}
	}
}
