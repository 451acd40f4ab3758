package result

import (
	"fmt"
	"strings"
	"testing"

	"marlreel/internal/testing/recorded"
)

// The files under testdata/compatibility must not be written anew to get a pass (package recorded).

// Codes keep their numbers, names, statuses and remedies: callers go by them.
func TestCompatibilityOfCodes(t *testing.T) {
	var out, added strings.Builder
	for code := range Code(1000) {
		to := &out
		if code == SharedKey { // it came after codes.txt was recorded
			to = &added
		}
		// A code that is not in the table is named by its number.
		if code.String() != fmt.Sprintf("code %d", code) {
			fmt.Fprintf(to, "%d | %d | %s | %t | %s\n", code, code.Status(), code, code.Succeeded(), code.Remedy())
		}
	}
	fmt.Fprintf(&out, "unknown: %d %s\n", Code(999).Status(), Code(999))
	recorded.Check(t, "codes.txt", out.String())
	recorded.Check(t, "code-shared-key.txt", added.String())
}
