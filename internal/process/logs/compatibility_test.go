package logs

import (
	"bytes"
	"errors"
	"regexp"
	"testing"
	"time"

	"marlreel/internal/testing/recorded"
)

// Checks both log formats: text lines, and JSON objects with the name of the event and its fields.
func TestCompatibilityForms(t *testing.T) {
	if Text != "text" || JSON != "json" {
		t.Errorf("formats %q and %q", Text, JSON)
	}
	clock := regexp.MustCompile(`"time":"[^"]*"|(?m)^\d\d:\d\d:\d\d\.\d{6} `)
	for _, format := range []string{Text, JSON} {
		var b bytes.Buffer
		l := New(&b, format)
		l.Info("serving", "event", "ready", "address", "127.0.0.1:7800", "backends", 3, "after", 250*time.Millisecond)
		l.Warn("it can't be read: \"x y\"", "event", "list", "do", "mend that entry", "err", errors.New("a b"), "empty", "")
		l.With("event", "http").Error("a \u010d line\nwith a break")
		l.Debug("not said")
		ForEvent(l, "engine")("%d backends", 7)
		recorded.Check(t, "lines-"+format+".txt", string(clock.ReplaceAll(b.Bytes(), []byte("TIME "))))
	}
	var b bytes.Buffer
	NewWithoutTime(&b).Info("without the time", "event", "x")
	recorded.Check(t, "lines-plain.txt", b.String())
}
