package bootstrap

import (
	"encoding/json"
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

// The keys of the settings file, as the users' pages name them.
func TestCompatibilityOfKeys(t *testing.T) {
	var lines []string
	tagsOf("", "toml", reflect.TypeFor[Settings](), &lines)
	slices.Sort(lines)
	checkRecorded(t, "settings-keys.txt", strings.Join(lines, "\n")+"\n")
}

// A settings file with all keys is read into the same content.
func TestCompatibilityOfSettings(t *testing.T) {
	s, err := Read(filepath.Join("testdata", "compatibility", "sent-settings.toml"))
	if err != nil {
		t.Fatal(err)
	}
	words, err := json.MarshalIndent(s, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	checkRecorded(t, "settings-content.json", string(words)+"\n")
	addresses := []string{
		s.PeerAddress(), s.AgentLoopback(), s.MetricsAddress(ProxyMetrics), s.MetricsAddress(AgentMetrics),
		s.MetricsAddress(ControlMetrics),
	}
	addresses = append(addresses, s.SeedPeers()...)
	checkRecorded(t, "addresses.txt", strings.Join(addresses, "\n")+"\n")
}

// The environment variable is the platform's.
func TestCompatibilityOfVariable(t *testing.T) {
	t.Setenv("MARLREEL_SETTINGS", filepath.Join("testdata", "compatibility", "sent-settings.toml"))
	s, err := Load()
	if err != nil {
		t.Fatal(err)
	}
	if s.NodeName != "edge-split-hala-1" {
		t.Errorf("the node is named %q", s.NodeName)
	}
}
