package metricserver

import (
	"strconv"
	"strings"
)

// Label is one label of a series.
type Label struct{ Key, Value string }

// SeriesName returns the full name of a series, such as name{key="value"}; labels keep their order.
func SeriesName(metric string, labels ...Label) string {
	if len(labels) == 0 {
		return metric
	}
	var name strings.Builder
	name.WriteString(metric)
	separator := byte('{')
	for _, label := range labels {
		name.WriteByte(separator)
		name.WriteString(label.Key)
		name.WriteByte('=')
		name.WriteString(strconv.Quote(label.Value))
		separator = ','
	}
	name.WriteByte('}')
	return name.String()
}

// BoolValue returns 1 for true and 0 for false.
func BoolValue(value bool) float64 {
	if value {
		return 1
	}
	return 0
}
