// Package logs is the form of this program's log: log/slog, a line for people or an object for machines, with the
// event's stable name and its fields. It owns that form alone; what is said, and when, is everybody's own.
package logs

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"sync"
)

// Formats of a log.
const (
	Text = "text"
	JSON = "json"
)

// New makes a logger. In a line the text comes first, in the words that pages and people know, and then event=name
// and the fields.
func New(w io.Writer, format string) *slog.Logger {
	if format == JSON {
		return slog.New(slog.NewJSONHandler(w, nil))
	}
	return slog.New(&textHandler{out: w, writeMu: new(sync.Mutex), withTime: true})
}

// NewWithoutTime is New's text without the time of day.
func NewWithoutTime(w io.Writer) *slog.Logger { return slog.New(&textHandler{out: w, writeMu: new(sync.Mutex)}) }

// Discard is a logger that writes nothing.
func Discard() *slog.Logger { return slog.New(slog.DiscardHandler) }

// ForEvent gives a part of the program that says lines a function to say them with: all under one event's name.
func ForEvent(l *slog.Logger, name string) func(format string, args ...any) {
	return func(format string, args ...any) { l.Info(fmt.Sprintf(format, args...), "event", name) }
}

type textHandler struct {
	out     io.Writer
	writeMu    *sync.Mutex
	withTime bool
	formattedAttrs string
}

func (h *textHandler) Enabled(_ context.Context, level slog.Level) bool { return level >= slog.LevelInfo }

func (h *textHandler) Handle(_ context.Context, r slog.Record) error {
	var b strings.Builder
	if h.withTime {
		b.WriteString(r.Time.Format("15:04:05.000000 "))
	}
	b.WriteString(r.Message)
	b.WriteString(h.formattedAttrs)
	r.Attrs(func(a slog.Attr) bool {
		appendAttr(&b, a)
		return true
	})
	b.WriteByte('\n')
	h.writeMu.Lock()
	defer h.writeMu.Unlock()
	_, err := io.WriteString(h.out, b.String())
	return err
}

func appendAttr(b *strings.Builder, a slog.Attr) {
	v := a.Value.Resolve().String()
	if v == "" || strings.ContainsAny(v, " =\"\n\t") {
		v = fmt.Sprintf("%q", v)
	}
	b.WriteString(" " + a.Key + "=" + v)
}

func (h *textHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	next := *h
	var b strings.Builder
	for _, a := range attrs {
		appendAttr(&b, a)
	}
	next.formattedAttrs += b.String()
	return &next
}

// WithGroup keeps fields flat: no part of this program groups them.
func (h *textHandler) WithGroup(string) slog.Handler { return h }
