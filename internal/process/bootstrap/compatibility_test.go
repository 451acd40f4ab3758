package bootstrap

import (
	"encoding/json"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"marlreel/internal/testing/recorded"
)

// Don't regenerate the files under testdata/compatibility to make a test pass (see package recorded). The files named
// sent-… follow the users' pages.

// Checks the keys of the settings file against the users' pages.
func TestCompatibilityOfKeys(t *testing.T) {
	lines := recorded.Keys("toml", reflect.TypeFor[Settings]())
	recorded.Check(t, "settings-keys.txt", strings.Join(lines, "\n")+"\n")
}

// A settings file with all keys is always read into the same content.
func TestCompatibilityOfSettings(t *testing.T) {
	s, err := Read(filepath.Join("testdata", "compatibility", "sent-settings.toml"))
	if err != nil {
		t.Fatal(err)
	}
	words, err := json.MarshalIndent(s, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	recorded.Check(t, "settings-content.json", string(words)+"\n")
	addresses := []string{
		s.PeerAddress(), s.AgentLoopback(), s.MetricsAddress(ProxyMetrics), s.MetricsAddress(AgentMetrics),
		s.MetricsAddress(ControlMetrics),
	}
	addresses = append(addresses, s.SeedPeers()...)
	recorded.Check(t, "addresses.txt", strings.Join(addresses, "\n")+"\n")
}

// The platform defines the name of the environment variable.
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
