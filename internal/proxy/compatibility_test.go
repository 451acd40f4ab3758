package proxy

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"marlreel/internal/fleet/agree"
)

// The file testdata/compatibility/trace.jsonl was written by the code of commit 6fb9894. It is the trace of a proxy in a
// fleet, which other programs read. It must not be rewritten to make a test pass. Reading it is tested in
// package fleettest.
//
// If the file is missing, it is written by
//
//	WRITE_COMPATIBILITY_FILES=1 go test -run TestCompatibility ./internal/proxy
//
// A file that exists is never overwritten.
const (
	compatibilityTrace = "testdata/compatibility/trace.jsonl"
	writeVariable      = "WRITE_COMPATIBILITY_FILES"
)

// TestCompatibilityOfTraces writes a trace with a line of every kind, and compares it with literals and the stored one.
func TestCompatibilityOfTraces(t *testing.T) {
	const want = `{"at":1790000000000000001,"seq":41,"versions":[3,4]}
{"at":1790000000000000002,"ends":[{"source":"discovery","name":"llm-1","revision":76},{"source":"registry","name":"llm-2","revision":7,"gone":true}]}
{"at":1790000000000000003,"id":"r-17","class":"interactive","attempt":2,"node":"llm-3","seq":41,"strict":true}
`
	if _, err := os.Stat(compatibilityTrace); err != nil && os.Getenv(writeVariable) != "" {
		if err := os.MkdirAll(filepath.Dir(compatibilityTrace), 0o755); err != nil {
			t.Fatal(err)
		}
		writeTrace(t, compatibilityTrace)
	}
	stored, err := os.ReadFile(compatibilityTrace)
	if err != nil {
		t.Fatal(err)
	}
	if string(stored) != want {
		t.Errorf("the stored trace is\n%s\nwant\n%s", stored, want)
	}
	path := filepath.Join(t.TempDir(), "trace")
	writeTrace(t, path)
	written, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(written, stored) {
		t.Errorf("the written trace is\n%s\nwant\n%s", written, stored)
	}
}

func writeTrace(t *testing.T, path string) {
	t.Helper()
	out, err := openTrace(path, nil)
	if err != nil {
		t.Fatal(err)
	}
	out.write(traceSettings{At: 1790000000000000001, Seq: 41, Versions: []uint64{3, 4}})
	out.write(traceEnds{At: 1790000000000000002, Ends: []agree.End{
		{Source: "discovery", Name: "llm-1", Revision: 76},
		{Source: "registry", Name: "llm-2", Revision: 7, Gone: true},
	}})
	out.write(traceAttempt{At: 1790000000000000003, ID: "r-17", Class: "interactive", Attempt: 2, Node: "llm-3", Seq: 41, Strict: true})
	if err := out.file.Close(); err != nil {
		t.Fatal(err)
	}
}
