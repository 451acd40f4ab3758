package emulator

import (
	"slices"
	"time"
)

// median is the median of spans; 0 of none.
func median(spans []time.Duration) time.Duration {
	if len(spans) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(spans))
	return sorted[len(sorted)/2]
}
