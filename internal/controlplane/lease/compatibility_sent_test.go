package lease

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"marlreel/internal/api"
)

// The files under testdata/compatibility were written by the code of commit 6fb9894, with WRITE_COMPATIBILITY=1. They
// hold encodings that other processes, backends and operators rely on. They must not be regenerated to make a test
// pass.

// checkRecorded compares a text with the recorded one.
func checkRecorded(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", "compatibility", name)
	if os.Getenv("WRITE_COMPATIBILITY") != "" {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("output differs from the recorded file %s\n got:\n%s\nwant:\n%s", path, got, want)
	}
}

// Keys and holders are sent as text, and each process selects holders by itself, so all versions must compute the same
// ones.
func TestCompatibilityOfKeysAndChoices(t *testing.T) {
	var out strings.Builder
	fmt.Fprintln(&out, PlacementKey("llm"), PlacementKey(""), HolderID("edge-1", 0x1234567890abcdef), HolderID("edge-2", 1))
	var nodes []*api.Node
	for i := range 5 {
		nodes = append(nodes, &api.Node{Name: fmt.Sprintf("edge-%d", i)})
	}
	for i := range 20 {
		key := PlacementKey(fmt.Sprintf("service-%d", i))
		fmt.Fprintln(&out, key, SelectNode(key, nodes).Name)
	}
	checkRecorded(t, "keys.txt", out.String())
}
