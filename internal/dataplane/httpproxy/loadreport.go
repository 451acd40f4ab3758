package httpproxy

import (
	"encoding/json"
	"net/http"
)

// parseLoadReport reads the values that the settings name, in their order. A report that
// can't be read, lacks one of them, or has one that can't be true, is none: half of
// one would draw traffic to a backend as if it were idle.
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
