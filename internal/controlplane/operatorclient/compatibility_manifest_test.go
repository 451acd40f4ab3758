package operatorclient

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"
)

// The file testdata/compatibility/manifest.json was written by the code of commit 6fb9894. It represents the manifests of
// archived support bundles. It must not be rewritten to make a test pass.
//
// If the file is missing, it is written by
//
//	WRITE_COMPATIBILITY_FILES=1 go test -run TestCompatibility ./internal/controlplane/operatorclient
//
// An existing file is never overwritten.
const (
	compatibilityFile = "testdata/compatibility/manifest.json"
	writeVariable     = "WRITE_COMPATIBILITY_FILES"
)

// storedManifest returns the content of the stored file.
func storedManifest() Manifest {
	return Manifest{
		Made:    time.Date(2026, 11, 30, 12, 34, 56, 0, time.UTC),
		Program: "marlreel v1.2.3 go1.26",
		Parts: []BundlePart{
			{Name: "status/10.0.0.1_7100.json", From: "10.0.0.1:7100"},
			{Name: "status/__1_7100.json", From: "[::1]:7100", Error: "connection refused"},
		},
	}
}

// TestCompatibilityOfStoredManifests reads a stored manifest, and compares the encoding of its content with it.
func TestCompatibilityOfStoredManifests(t *testing.T) {
	written, err := json.MarshalIndent(storedManifest(), "", " ")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := os.Stat(compatibilityFile); err != nil && os.Getenv(writeVariable) != "" {
		if err := os.MkdirAll(filepath.Dir(compatibilityFile), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(compatibilityFile, written, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	stored, err := os.ReadFile(compatibilityFile)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(written, stored) {
		t.Errorf("the manifest is written as\n%s\nbut stored as\n%s", written, stored)
	}
	var got Manifest
	if err := json.Unmarshal(stored, &got); err != nil {
		t.Fatal(err)
	}
	if want := storedManifest(); !reflect.DeepEqual(got, want) {
		t.Errorf("the manifest is\n%+v\nwant\n%+v", got, want)
	}
	if n := got.MissingParts(); n != 1 {
		t.Errorf("%d parts are missing, want 1", n)
	}
}

// TestCompatibilityOfPartNames compares the file names that are derived from addresses.
func TestCompatibilityOfPartNames(t *testing.T) {
	for address, want := range map[string]string{
		"10.0.0.1:7100": "10.0.0.1_7100",
		"[::1]:7100":    "__1_7100",
		"host/a:1":      "host_a_1",
	} {
		if got := fileName(address); got != want {
			t.Errorf("the name of %s is %q, want %q", address, got, want)
		}
	}
}
