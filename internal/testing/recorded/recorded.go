// Package recorded compares what a package sends, stores or prints with the output of an earlier version: golden files
// under testdata/compatibility, written by the code of commit 6fb9894. Other processes, backends and operators rely on
// these formats, so the files must not be regenerated to make a test pass.
//
// With WRITE_COMPATIBILITY=1 in the environment, missing files are written; existing files are never overwritten. Only
// tests import the package.
package recorded

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"
)

// writeVariable is the environment variable that makes Check write files that don't exist yet.
const writeVariable = "WRITE_COMPATIBILITY"

// Writing reports whether files that don't exist yet are written.
func Writing() bool { return os.Getenv(writeVariable) != "" }

func pathOf(name string) string { return filepath.Join("testdata", "compatibility", name) }

// Check fails the test if got differs from the recorded file.
func Check(t testing.TB, name, got string) {
	t.Helper()
	_, err := os.Stat(pathOf(name))
	if errors.Is(err, fs.ErrNotExist) && Writing() {
		write(t, name, got)
	}
	if want := string(Read(t, name)); got != want {
		t.Errorf("%s differs from the recorded file\n got:\n%s\nwant:\n%s", pathOf(name), got, want)
	}
}

func write(t testing.TB, name, text string) {
	t.Helper()
	const folderMode, fileMode = 0o755, 0o644
	if err := os.MkdirAll(filepath.Dir(pathOf(name)), folderMode); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(pathOf(name), []byte(text), fileMode); err != nil {
		t.Fatal(err)
	}
}

// Read returns the content of a recorded file.
func Read(t testing.TB, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(pathOf(name))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Keys lists the keys that a struct tag (json, toml) gives the fields of a type, each with its path and the kind of its
// value, sorted. Names of Go types and fields are left out. An exported field without the tag is listed as such.
func Keys(tag string, kind reflect.Type) []string {
	var keys []string
	addKeys("", tag, kind, &keys)
	slices.Sort(keys)
	return keys
}

func addKeys(path, tag string, kind reflect.Type, keys *[]string) {
	switch kind.Kind() {
	case reflect.Pointer:
		addKeys(path, tag, kind.Elem(), keys)
	case reflect.Slice:
		if kind.Elem().Kind() == reflect.Uint8 {
			*keys = append(*keys, path+" any")
			return
		}
		addKeys(path+"[]", tag, kind.Elem(), keys)
	case reflect.Map:
		addKeys(path+"{"+kind.Key().Kind().String()+"}", tag, kind.Elem(), keys)
	case reflect.Struct:
		for i := range kind.NumField() {
			field := kind.Field(i)
			if key := field.Tag.Get(tag); key != "" {
				addKeys(path+"."+key, tag, field.Type, keys)
			} else if field.IsExported() {
				*keys = append(*keys, path+" has a field without a key")
			}
		}
	default:
		*keys = append(*keys, path+" "+kind.Kind().String())
	}
}
