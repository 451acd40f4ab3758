package bootstrap

import (
	"encoding/json"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"marlreel/internal/testing/recorded"
)

// The files under testdata/compatibility must not be written anew to get a pass (package recorded). Those named
// sent-… are after the users' pages.

// The keys of the settings file, as the users' pages name them.
func TestCompatibilityOfKeys(t *testing.T) {
	lines := recorded.Keys("toml", reflect.TypeFor[Settings]())
	recorded.Check(t, "settings-keys.txt", strings.Join(lines, "\n")+"\n")
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
	recorded.Check(t, "settings-content.json", string(words)+"\n")
	addresses := []string{
		s.PeerAddress(), s.AgentLoopback(), s.MetricsAddress(ProxyMetrics), s.MetricsAddress(AgentMetrics),
		s.MetricsAddress(ControlMetrics),
	}
	addresses = append(addresses, s.SeedPeers()...)
	recorded.Check(t, "addresses.txt", strings.Join(addresses, "\n")+"\n")
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
