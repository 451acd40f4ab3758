package result

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The files under testdata/compatibility were written by the code of commit 6fb9894, with
// WRITE_COMPATIBILITY=1. They hold forms that other processes, backends and operators rely on.
// They must not be written anew to get a pass.

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
		t.Errorf("%s differs from what was recorded\n got:\n%s\nwant:\n%s", path, got, want)
	}
}

// Codes keep their numbers, names, statuses and remedies: callers go by them.
func TestCompatibilityOfCodes(t *testing.T) {
	var out strings.Builder
	for code := range Code(1000) {
		// A code that is not in the table is named by its number.
		if code.String() != fmt.Sprintf("code %d", code) {
			fmt.Fprintf(&out, "%d | %d | %s | %t | %s\n", code, code.Status(), code, code.Succeeded(), code.Remedy())
		}
	}
	fmt.Fprintf(&out, "unknown: %d %s\n", Code(999).Status(), Code(999))
	checkRecorded(t, "codes.txt", out.String())
}
