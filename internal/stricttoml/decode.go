package stricttoml

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// FileError is a file that can't be read as it is meant.
type FileError struct {
	Position string // the file, and the line and column where they are known: path:line:column
	Reason   string // one line
	Err      error  // of the parser
}

func (e *FileError) Error() string { return e.Position + ": " + e.Reason }
func (e *FileError) Unwrap() error { return e.Err }

// Advice says what an operator can do.
func (e *FileError) Advice() string { return "mend that line of the file" }

// Decode reads a file's text into a struct with toml tags; path is for its errors, which are *FileError. Fields
// whose keys the text lacks keep their values.
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

// unknownKeyError names the first unknown key, and the nearest one that its table has.
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

// keysAt are the known keys of the table at a path, by the toml tags of a type; nil where it has no such table.
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
