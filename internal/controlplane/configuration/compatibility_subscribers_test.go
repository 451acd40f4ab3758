package configuration

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"marlreel/internal/testing/recorded"
)

// checkIndented compares a value, as indented JSON, with a recorded file.
func checkIndented(t *testing.T, name string, value any) {
	t.Helper()
	encoded, err := json.MarshalIndent(value, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	recorded.Check(t, name, string(encoded)+"\n")
}

// Guards against a version that decodes a configuration with subscribers differently, or that writes it or the result
// of a change with different bytes.
func TestCompatibilityOfSubscribers(t *testing.T) {
	sent := recorded.Read(t, "sent-subscribers.json")
	document := parsed(t, string(sent))
	if string(document.Raw()) != string(sent) {
		t.Errorf("Raw differs from the JSON that was parsed:\n%s", document.Raw())
	}
	checkIndented(t, "subscribers-content.json", document)
	next := modified(t, document, string(recorded.Read(t, "sent-subscribers-change.json")))
	recorded.Check(t, "subscribers-changed.json", string(next.Raw())+"\n")
	found, err := Diff(sent, next.Raw())
	if err != nil {
		t.Fatal(err)
	}
	checkIndented(t, "subscribers-difference.json", found)
	redacted, err := Redact(sent)
	if err != nil {
		t.Fatal(err)
	}
	recorded.Check(t, "subscribers-redacted.json", string(redacted)+"\n")
}

// Guards against invalid subscribers being rejected with different codes than before.
func TestCompatibilityOfFaultsOfSubscribers(t *testing.T) {
	sent := string(recorded.Read(t, "sent-subscribers.json"))
	var out strings.Builder
	for _, fault := range []struct{ name, old, new string }{
		{"none", "", ""},
		{"no name", `"name": "free"`, `"name": ""`},
		{"two of a name", `"name": "free"`, `"name": "mesu91"`},
		{"a key of two", `t4r8c2m6x0q9w3e7y1u5`, `k9m68k7b2ex5wa5xwyhk`},
		{"a key twice in one", `banfqasnmgkcuyj8pjbv`, `k9m68k7b2ex5wa5xwyhk`},
		{"an empty key", `t4r8c2m6x0q9w3e7y1u5`, ``},
		{"negative rate", `"rate_per_s": 12.5`, `"rate_per_s": -12.5`},
		{"negative burst", `"burst_size": 20`, `"burst_size": -20`},
		{"negative tokens", `"raw_tokens": 200`, `"raw_tokens": -200`},
		{"a unit that nobody knows", `"token_metering"`, `"other"`},
		{"keys that are no list", `"access_keys": []`, `"access_keys": "k"`},
		{"the list is none", `"subscribers": [`, `"subscribers": 1, "others": [`},
	} {
		if !strings.Contains(sent, fault.old) {
			t.Fatalf("%s: the recorded configuration doesn't contain %s", fault.name, fault.old)
		}
		_, found := Validate([]byte(strings.Replace(sent, fault.old, fault.new, 1)))
		fmt.Fprintf(&out, "%s:", fault.name)
		for _, one := range found {
			fmt.Fprintf(&out, " %d (HTTP %d)", one.Code, one.Code.Status())
		}
		fmt.Fprintln(&out)
	}
	recorded.Check(t, "subscribers-faults.txt", out.String())
}
