package stricttoml

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// FileError reports that a TOML file can't be decoded.
type FileError struct {
	Position string // path:line:column; line and column only if known
	Reason   string // one line
	Err      error  // the parser's error
}

func (e *FileError) Error() string { return e.Position + ": " + e.Reason }
func (e *FileError) Unwrap() error { return e.Err }

// Advice says what an operator can do.
func (e *FileError) Advice() string { return "correct that line of the file" }

// Decode decodes the text of a file into a struct with toml tags. path is used only in errors, which are *FileError.
// Fields whose keys are missing from the text keep their values.
func Decode(path string, data []byte, into any) error {
	err := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(into)
	if err == nil {
		return nil
	}
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) && len(unknown.Errors) > 0 {
		return unknownKeyError(path, unknown, into)
	}
	var malformed *toml.DecodeError
	if errors.As(err, &malformed) {
		row, column := malformed.Position()
		return &FileError{Position: fmt.Sprintf("%s:%d:%d", path, row, column), Reason: oneLine(malformed.Error()), Err: err}
	}
	return &FileError{Position: path, Reason: oneLine(err.Error()), Err: err}
}

// unknownKeyError returns an error for the first unknown key, which suggests the closest known key of its table.
func unknownKeyError(path string, unknown *toml.StrictMissingError, into any) *FileError {
	first := unknown.Errors[0]
	row, _ := first.Position()
	key := first.Key()
	suggestion := ""
	if len(key) > 0 {
		last := len(key) - 1
		suggestion = SuggestClosest(key[last], keysAt(reflect.TypeOf(into), key[:last]))
	}
	return &FileError{
		Position: fmt.Sprintf("%s:%d", path, row),
		Reason:   fmt.Sprintf("unknown key %s%s", strings.Join(key, "."), suggestion),
		Err:      unknown,
	}
}

func oneLine(s string) string {
	return strings.Join(strings.Fields(strings.TrimPrefix(s, "toml: ")), " ")
}

// keysAt returns the known keys of the table at a path, by the toml tags of a type, or nil if there is no such table.
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
