// Package metricserver serves the metrics of a process over HTTP, in the text exposition format of Prometheus (version
// 0.0.4), and builds the names of series. Metrics belong to the packages that count; this package counts nothing. Metrics
// never contain request contents. docs/METRICS.md lists them.
package metricserver
