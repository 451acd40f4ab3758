package httpproxy

import (
	"encoding/json"
	"net/http"
)

// parseLoadReport returns the values that the settings name, in their order. It returns nil for
// a report that is malformed, lacks one of the values, or has one out of range: a partial
// report would attract traffic to a backend as if it were idle.
func parseLoadReport(h http.Header, names []string) []float32 {
	const maxValue = 1e9
	text := h.Get(headerLoad)
	if text == "" || len(names) == 0 {
		return nil
	}
	var values map[string]*float64
	if err := json.Unmarshal([]byte(text), &values); err != nil {
		return nil
	}
	load := make([]float32, len(names))
	for i, n := range names {
		v := values[n]
		if v == nil || !(*v >= 0 && *v <= maxValue) {
			return nil
		}
		load[i] = float32(*v)
	}
	return load
}
