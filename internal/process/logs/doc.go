// Package logs is the form of the proxy's log: log/slog, a line for people or a JSON object for machines, with the
// event's stable name and its attributes. The package owns that form alone: what is logged, and when, is up to the
// packages that log.
package logs
