// Package logs formats the proxy's log with log/slog: as lines of text for people or JSON objects for machines, with the
// stable name of the event and its attributes. It owns only the format; other packages decide what is logged and when.
package logs
