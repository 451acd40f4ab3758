package configuration

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
)

// The files under testdata/compatibility were written by the code of commit 6fb9894, with
// WRITE_COMPATIBILITY=1. They hold forms that other processes, backends and operators rely on.
// They must not be written anew to get a pass. Those named sent-… are after the users' pages.

// checkRecorded compares a text with the recorded one.
func checkRecorded(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", "compatibility", name)
	if os.Getenv("WRITE_COMPATIBILITY") != "" {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("%s differs from what was recorded\n got:\n%s\nwant:\n%s", path, got, want)
	}
}

// tagsOf lists the keys of a type, with the kinds of their values, by their paths. Names of Go
// types and fields are not in it.
func tagsOf(prefix, tag string, kind reflect.Type, into *[]string) {
	switch kind.Kind() {
	case reflect.Pointer:
		tagsOf(prefix, tag, kind.Elem(), into)
	case reflect.Slice:
		if kind.Elem().Kind() == reflect.Uint8 {
			*into = append(*into, prefix+" any")
			return
		}
		tagsOf(prefix+"[]", tag, kind.Elem(), into)
	case reflect.Map:
		tagsOf(prefix+"{"+kind.Key().Kind().String()+"}", tag, kind.Elem(), into)
	case reflect.Struct:
		for i := range kind.NumField() {
			field := kind.Field(i)
			if key := field.Tag.Get(tag); key != "" {
				tagsOf(prefix+"."+key, tag, field.Type, into)
			} else if field.IsExported() {
				*into = append(*into, prefix+" has a field without a key")
			}
		}
	default:
		*into = append(*into, prefix+" "+kind.Kind().String())
	}
}

// The keys of a configuration, of a change of one, and of a comparison.
func TestCompatibilityOfKeys(t *testing.T) {
	for name, value := range map[string]any{"document": Document{}, "change": change{}, "difference": Difference{}} {
		var lines []string
		tagsOf("", "json", reflect.TypeOf(value), &lines)
		slices.Sort(lines)
		checkRecorded(t, name+"-keys.txt", strings.Join(lines, "\n")+"\n")
	}
}

// readRecorded gives a file that an operator of the recorded version sends.
func readRecorded(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", "compatibility", name))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// A recorded configuration has each field. It is read into the same content, as JSON with the keys
// of the pages, and is given back as it was.
func TestCompatibilityOfDocument(t *testing.T) {
	sent := readRecorded(t, "sent-configuration.json")
	document, err := Parse(sent)
	if err != nil {
		t.Fatal(err)
	}
	if string(document.Raw()) != string(sent) {
		t.Errorf("the document is given back otherwise:\n%s", document.Raw())
	}
	words, failure := json.MarshalIndent(document, "", " ")
	if failure != nil {
		t.Fatal(failure)
	}
	checkRecorded(t, "configuration-content.json", string(words)+"\n")

	next, err := document.Modify(readRecorded(t, "sent-change.json"))
	if err != nil {
		t.Fatal(err)
	}
	checkRecorded(t, "configuration-changed.json", string(next.Raw())+"\n")

	found, err := Diff(sent, next.Raw())
	if err != nil {
		t.Fatal(err)
	}
	words, failure = json.MarshalIndent(found, "", " ")
	if failure != nil {
		t.Fatal(failure)
	}
	checkRecorded(t, "configuration-difference.json", string(words)+"\n")
}

// Faults have the codes that they had.
func TestCompatibilityOfFaults(t *testing.T) {
	sent := string(readRecorded(t, "sent-configuration.json"))
	var out strings.Builder
	for _, fault := range []struct{ name, old, new string }{
		{"no version", `"config_version": 7`, `"config_version": 0`},
		{"unknown service in a split", `"service": "bare", "weight"`, `"service": "none", "weight"`},
		{"negative weight", `"weight": 10`, `"weight": -10`},
		{"no time-out", `"timeout_ms": 15000`, `"timeout_ms": 0`},
		{"prefix without slashes", `"/chat/"`, `"chat"`},
		{"no host", `"host": "a.example"`, `"host": ""`},
		{"a class that nobody knows", `"route_class": "safe"`, `"route_class": "other"`},
		{"two routes of a name", `"name": "plain"`, `"name": "chat"`},
		{"two services of a name", `"name": "third"`, `"name": "bare"`},
		{"cut short", `"limits"`, ``},
	} {
		if !strings.Contains(sent, fault.old) {
			t.Fatalf("%s: the configuration has no %s", fault.name, fault.old)
		}
		_, found := Validate([]byte(strings.Replace(sent, fault.old, fault.new, 1)))
		fmt.Fprintf(&out, "%s:", fault.name)
		for _, one := range found {
			fmt.Fprintf(&out, " %d", one.Code)
		}
		fmt.Fprintln(&out)
	}
	checkRecorded(t, "faults.txt", out.String())
}
