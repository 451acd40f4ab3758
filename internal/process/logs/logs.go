package logs

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"sync"
)

// Log formats, by their names in the settings.
const (
	Text = "text"
	JSON = "json"
)

// New creates a logger that writes to w in a format; any format but JSON means Text. A text line has the time of day, the
// message and the attributes as key=value.
func New(w io.Writer, format string) *slog.Logger {
	if format == JSON {
		return slog.New(slog.NewJSONHandler(w, nil))
	}
	return slog.New(&textHandler{out: w, writeMu: new(sync.Mutex), withTime: true})
}

// NewWithoutTime creates a logger that writes text lines without the time of day.
func NewWithoutTime(w io.Writer) *slog.Logger {
	return slog.New(&textHandler{out: w, writeMu: new(sync.Mutex)})
}

// Discard returns a logger that writes nothing.
func Discard() *slog.Logger { return slog.New(slog.DiscardHandler) }

// ForEvent returns a printf-style function that logs all of its lines under one event name.
func ForEvent(l *slog.Logger, name string) func(format string, args ...any) {
	return func(format string, args ...any) { l.Info(fmt.Sprintf(format, args...), "event", name) }
}

// textHandler writes each record as one line with a single call of Write. It ignores groups, as no caller uses them.
type textHandler struct {
	out            io.Writer
	writeMu        *sync.Mutex // shared by the handlers that WithAttrs derives
	withTime       bool
	formattedAttrs string
}

var _ slog.Handler = (*textHandler)(nil)

// Enabled implements slog.Handler: debug records are not written.
func (h *textHandler) Enabled(_ context.Context, level slog.Level) bool {
	return level >= slog.LevelInfo
}

// Handle implements slog.Handler.
func (h *textHandler) Handle(_ context.Context, record slog.Record) error {
	var line strings.Builder
	if h.withTime {
		line.WriteString(record.Time.Format("15:04:05.000000 "))
	}
	line.WriteString(record.Message)
	line.WriteString(h.formattedAttrs)
	record.Attrs(func(attr slog.Attr) bool {
		appendAttr(&line, attr)
		return true
	})
	line.WriteByte('\n')
	h.writeMu.Lock()
	defer h.writeMu.Unlock()
	_, err := io.WriteString(h.out, line.String())
	return err
}

// appendAttr writes " key=value". It quotes the value if it is empty or has characters that would make the line
// ambiguous.
func appendAttr(line *strings.Builder, attr slog.Attr) {
	value := attr.Value.Resolve().String()
	if value == "" || strings.ContainsAny(value, " =\"\n\t") {
		value = fmt.Sprintf("%q", value)
	}
	line.WriteString(" " + attr.Key + "=" + value)
}

// WithAttrs implements slog.Handler.
func (h *textHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	derived := *h
	var formatted strings.Builder
	for _, attr := range attrs {
		appendAttr(&formatted, attr)
	}
	derived.formattedAttrs += formatted.String()
	return &derived
}

// WithGroup implements slog.Handler. Attributes stay flat.
func (h *textHandler) WithGroup(string) slog.Handler { return h }
