// Package metricserver serves the metrics of a process of the system over HTTP, in the text exposition format of
// Prometheus (version 0.0.4), and forms the names of series. Who counts something owns its metric; this package never
// counts, and metrics contain nothing of the contents of requests. docs/METRICS.md lists them.
package metricserver
