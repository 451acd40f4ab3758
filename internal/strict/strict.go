// Package strict decodes TOML files that people write: an unknown key is an error that
// names file, line and the nearest known key, and every error is one line. It knows no
// file's meaning.
package strict

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Span is a length of time as these files write it: "250ms", "8s".
type Span time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no span of time like \"250ms\" or \"8s\"", text)
	}
	*s = Span(d)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (s Span) MarshalText() ([]byte, error) { return []byte(time.Duration(s).String()), nil }

// D is the span as the standard library has it.
func (s Span) D() time.Duration { return time.Duration(s) }

// Error is a file that can't be read as it is meant.
type Error struct {
	Where  string // file, line and column
	Reason string
	Err    error
}

func (e *Error) Error() string { return e.Where + ": " + e.Reason }
func (e *Error) Unwrap() error { return e.Err }

// Advice says what an operator can do.
func (e *Error) Advice() string { return "mend that line of the file" }

// Decode reads a file's text into a struct with toml tags; path is for its errors.
func Decode(path string, data []byte, into any) error {
	err := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(into)
	if err == nil {
		return nil
	}
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) && len(unknown.Errors) > 0 {
		first := unknown.Errors[0]
		row, _ := first.Position()
		key := first.Key()
		hint := ""
		if len(key) > 0 {
			hint = Closest(key[len(key)-1], keysAt(reflect.TypeOf(into), key[:len(key)-1]))
		}
		return &Error{fmt.Sprintf("%s:%d", path, row), fmt.Sprintf("unknown key %s%s", strings.Join(key, "."), hint), err}
	}
	var bad *toml.DecodeError
	if errors.As(err, &bad) {
		row, col := bad.Position()
		return &Error{fmt.Sprintf("%s:%d:%d", path, row, col), oneLine(bad.Error()), err}
	}
	return &Error{path, oneLine(err.Error()), err}
}

func oneLine(s string) string {
	return strings.Join(strings.Fields(strings.TrimPrefix(s, "toml: ")), " ")
}

// keysAt are the known keys of the table at a path.
func keysAt(t reflect.Type, path []string) []string {
	for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	if t.Kind() != reflect.Struct {
		return nil
	}
	var keys []string
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("toml"), ",")
		if name == "" || name == "-" {
			continue
		}
		if len(path) > 0 && name == path[0] {
			return keysAt(f.Type, path[1:])
		}
		keys = append(keys, name)
	}
	if len(path) > 0 {
		return nil
	}
	return keys
}

// Closest words a hint at the name nearest to one that is not known, or nothing.
func Closest(name string, known []string) string {
	best, least := "", 4
	for _, k := range known {
		if d := distance(name, k); d < least && d < max(len(name), 3) {
			best, least = k, d
		}
	}
	if best == "" {
		return ""
	}
	return fmt.Sprintf(" (did you mean %s?)", best)
}

// distance is Levenshtein's.
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		last := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := last
			if a[i] != b[j] {
				cost++
			}
			last = row[j+1]
			row[j+1] = min(cost, row[j]+1, last+1)
		}
	}
	return row[len(b)]
}
