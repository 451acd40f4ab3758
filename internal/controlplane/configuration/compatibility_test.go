package configuration

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"marlreel/internal/testing/recorded"
)

// The files under testdata/compatibility must not be rewritten to make a test pass (package recorded). Those named
// sent-… follow the user documentation.

// Guards against changed JSON keys of a configuration, a change, or a comparison.
func TestCompatibilityOfKeys(t *testing.T) {
	for name, value := range map[string]any{"document": Document{}, "change": change{}, "difference": Difference{}} {
		lines := recorded.Keys("json", reflect.TypeOf(value))
		recorded.Check(t, name+"-keys.txt", strings.Join(lines, "\n")+"\n")
	}
}

// The recorded configuration has every field. It must decode to the recorded content, whose keys are those of the user
// documentation, and be returned by Raw with its original bytes.
func TestCompatibilityOfDocument(t *testing.T) {
	sent := recorded.Read(t, "sent-configuration.json")
	document, err := Parse(sent)
	if err != nil {
		t.Fatal(err)
	}
	if string(document.Raw()) != string(sent) {
		t.Errorf("Raw differs from the JSON that was parsed:\n%s", document.Raw())
	}
	encoded, failure := json.MarshalIndent(document, "", " ")
	if failure != nil {
		t.Fatal(failure)
	}
	recorded.Check(t, "configuration-content.json", string(encoded)+"\n")

	next, err := document.Modify(recorded.Read(t, "sent-change.json"))
	if err != nil {
		t.Fatal(err)
	}
	recorded.Check(t, "configuration-changed.json", string(next.Raw())+"\n")

	found, err := Diff(sent, next.Raw())
	if err != nil {
		t.Fatal(err)
	}
	encoded, failure = json.MarshalIndent(found, "", " ")
	if failure != nil {
		t.Fatal(failure)
	}
	recorded.Check(t, "configuration-difference.json", string(encoded)+"\n")
}

// Guards against invalid configurations being rejected with different codes than before.
func TestCompatibilityOfFaults(t *testing.T) {
	sent := string(recorded.Read(t, "sent-configuration.json"))
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
			t.Fatalf("%s: the recorded configuration doesn't contain %s", fault.name, fault.old)
		}
		_, found := Validate([]byte(strings.Replace(sent, fault.old, fault.new, 1)))
		fmt.Fprintf(&out, "%s:", fault.name)
		for _, one := range found {
			fmt.Fprintf(&out, " %d", one.Code)
		}
		fmt.Fprintln(&out)
	}
	recorded.Check(t, "faults.txt", out.String())
}
