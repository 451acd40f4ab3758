package emulator

import (
	"slices"
	"time"
)

// middle is the median; 0 of none.
func middle(spans []time.Duration) time.Duration {
	if len(spans) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(spans))
	return sorted[len(sorted)/2]
}
