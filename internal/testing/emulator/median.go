package emulator

import (
	"slices"
	"time"
)

// median returns the median of spans, or 0 if there are none.
func median(spans []time.Duration) time.Duration {
	if len(spans) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(spans))
	return sorted[len(sorted)/2]
}
