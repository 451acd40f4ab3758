package recorded

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"
)

// fakeT records failures instead of failing the test.
type fakeT struct {
	testing.TB
	errors []string
}

// Helper implements testing.TB.
func (*fakeT) Helper() {}

// Errorf implements testing.TB.
func (t *fakeT) Errorf(format string, args ...any) {
	t.errors = append(t.errors, fmt.Sprintf(format, args...))
}

func TestCheckNoticesADifference(t *testing.T) {
	t.Setenv(writeVariable, "")
	t.Chdir(t.TempDir())
	write(t, "form.txt", "as it was")
	for _, c := range []struct {
		name, got string
		errors    int
	}{
		{"the same", "as it was", 0},
		{"another byte", "as it was\n", 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			fake := &fakeT{TB: t}
			Check(fake, "form.txt", c.got)
			if len(fake.errors) != c.errors {
				t.Errorf("failures: %q, want %d", fake.errors, c.errors)
			}
		})
	}
	if data, err := os.ReadFile(pathOf("form.txt")); err != nil || string(data) != "as it was" {
		t.Errorf("the file has become %q (%v)", data, err)
	}
}

// With the variable set, a missing file is written, and an existing file is compared and left unchanged.
func TestCheckWritesOnlyMissingFiles(t *testing.T) {
	t.Setenv(writeVariable, "1")
	t.Chdir(t.TempDir())
	fake := &fakeT{TB: t}
	Check(fake, "form.txt", "as it was")
	if len(fake.errors) != 0 {
		t.Errorf("failures for a missing file: %q, want none", fake.errors)
	}
	Check(fake, "form.txt", "as it is")
	if len(fake.errors) != 1 {
		t.Errorf("failures for different text: %q, want one", fake.errors)
	}
	if data, err := os.ReadFile(pathOf("form.txt")); err != nil || string(data) != "as it was" {
		t.Errorf("the file has become %q (%v)", data, err)
	}
}

func TestKeysArePathsAndKinds(t *testing.T) {
	type inner struct {
		Raw   []byte `json:"raw"`
		Names []string
	}
	type outer struct {
		Inner  *inner             `json:"inner"`
		Shares map[string]float64 `json:"shares"`
		List   []inner            `json:"list"`
		hidden int
	}
	got := strings.Join(Keys("json", reflect.TypeFor[outer]()), "\n")
	want := strings.Join([]string{
		".inner has a field without a key", ".inner.raw any", ".list[] has a field without a key", ".list[].raw any", ".shares{string} float64",
	}, "\n")
	if got != want {
		t.Errorf("keys are\n%s\nwant\n%s", got, want)
	}
	_ = outer{}.hidden
}
