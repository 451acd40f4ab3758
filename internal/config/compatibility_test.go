package config_test

import (
	"bytes"
	"os"
	"path/filepath"
	"regexp"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"

	"marlreel/internal/config"
	"marlreel/internal/testing/recorded"
)

// The recorded operator's file, with all of its keys uncommented, can be read, and writing it again gives the same keys
// and values.
func TestCompatibilityOperatorFile(t *testing.T) {
	shipped, err := os.ReadFile(filepath.Join("..", "..", "deploy", "marlreel.toml"))
	if err != nil {
		t.Fatal(err)
	}
	recorded.Check(t, "deploy-marlreel.toml", string(shipped))
	file := recorded.Read(t, "deploy-marlreel.toml")
	on := regexp.MustCompile(`(?m)^# ((?:\[.*\]|[a-z-]+ = .*))$`).ReplaceAll(file, []byte("$1"))
	for _, c := range []struct{ name, text string }{
		{"marlreel-all-set.toml", string(on)},
		{"marlreel-defaults.toml", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			m, err := config.ParseOperator("marlreel.toml", []byte(c.text))
			if err != nil {
				t.Fatal(err)
			}
			got, err := toml.Marshal(m)
			if err != nil {
				t.Fatal(err)
			}
			recorded.Check(t, c.name, string(got))
			again, err := config.ParseOperator("marlreel.toml", got)
			if err != nil {
				t.Fatalf("the written file can't be read: %v", err)
			}
			if second, err := toml.Marshal(again); err != nil || !bytes.Equal(second, got) {
				t.Errorf("reading and writing the file again changes it (error: %v)\n%s", err, second)
			}
		})
	}
}

// The keys of the platform's configuration stay the same.
func TestCompatibilityPlatformFile(t *testing.T) {
	data := recorded.Read(t, "platform.json")
	p, err := config.ParsePlatform(data, func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		key       string
		got, want any
	}{
		{"name", p.Name, "n0"},
		{"listen", p.ListenAddress, "127.0.0.1:7800"},
		{"discovery", p.DiscoveryAddress, "127.0.0.1:7900"},
		{"control", p.ControlAddress, "127.0.0.1:7801"},
		{"seed", p.Seed, uint64(0x8c1f)},
		{"limits.cores", p.Cores, 1.5},
		{"limits.memory_mb", p.MemoryMB, 96},
		{"limits.sockets", p.MaxFileDescriptors, 512},
		{"settings.FailureDomains", p.Names.Zones["maribor"], 1},
		{"settings.Kinds", p.Names.Kinds["big-4c"], 1},
		{"settings.Caps.MaxOpen", p.MaxOpenRequests, 20000},
		{"settings.Feedback.Names", len(p.ReportNames), 2},
		{"settings.Services", p.Settings.Classes[1].Name, "bid"},
		{"settings.Services.GiveUp", p.Settings.Classes[1].ClientTimeout, 900 * time.Millisecond},
		{"settings.Tenants", p.Settings.Tenants[0].Name, "obala"},
		{"no NODE_SOCKET_FD", p.ListenFD, -1},
	} {
		if c.got != c.want {
			t.Errorf("%s: %v, want %v", c.key, c.got, c.want)
		}
	}
	if p.InitialList == nil || len(p.InitialList.Instances) != 1 {
		t.Errorf("known: %+v", p.InitialList)
	}
	compareRecordedSharedSettings(t, p)
}

// Environment variables override the file, and their names stay the same.
func TestCompatibilityPlatformEnvironment(t *testing.T) {
	data := recorded.Read(t, "platform.json")
	env := map[string]string{
		"NODE_NAME": "n7", "NODE_LISTEN": "127.0.0.1:1", "NODE_DISCOVERY": "127.0.0.1:2",
		"NODE_CONTROL": "127.0.0.1:3", "NODE_SOCKET_FD": "5", "TMPDIR": "/somewhere",
	}
	p, err := config.ParsePlatform(data, func(key string) string { return env[key] })
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		key       string
		got, want any
	}{
		{"NODE_NAME", p.Name, "n7"},
		{"NODE_LISTEN", p.ListenAddress, "127.0.0.1:1"},
		{"NODE_DISCOVERY", p.DiscoveryAddress, "127.0.0.1:2"},
		{"NODE_CONTROL", p.ControlAddress, "127.0.0.1:3"},
		{"NODE_SOCKET_FD", p.ListenFD, 5},
		{"TMPDIR", p.TempDir, "/somewhere"},
	} {
		if c.got != c.want {
			t.Errorf("$%s: %v, want %v", c.key, c.got, c.want)
		}
	}
	compareRecordedSharedSettings(t, p)
}

// compareRecordedSharedSettings checks the shared settings, which proxies of a fleet send to each other.
func compareRecordedSharedSettings(t *testing.T, p *config.Platform) {
	t.Helper()
	shared, err := p.SharedSettings()
	if err != nil {
		t.Fatal(err)
	}
	recorded.Check(t, "shared-settings.json", shared+"\n")
	if _, err := p.WithSharedSettings(shared); err != nil {
		t.Errorf("shared settings are rejected: %v", err)
	}
}
