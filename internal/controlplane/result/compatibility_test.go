package result

import (
	"fmt"
	"strings"
	"testing"

	"marlreel/internal/testing/recorded"
)

// The files under testdata/compatibility must not be rewritten to make a test pass (package recorded).

// Guards against codes whose number, name, status or remedy has changed: callers depend on them.
func TestCompatibilityOfCodes(t *testing.T) {
	var out, added strings.Builder
	for code := range Code(1000) {
		to := &out
		if code == SharedKey { // added after codes.txt was recorded
			to = &added
		}
		// An undefined code has its number as its name.
		if code.String() != fmt.Sprintf("code %d", code) {
			fmt.Fprintf(to, "%d | %d | %s | %t | %s\n", code, code.Status(), code, code.Succeeded(), code.Remedy())
		}
	}
	fmt.Fprintf(&out, "unknown: %d %s\n", Code(999).Status(), Code(999))
	recorded.Check(t, "codes.txt", out.String())
	recorded.Check(t, "code-shared-key.txt", added.String())
}
