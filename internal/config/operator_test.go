package config_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"marlreel/internal/config"
)

func TestParseOperator(t *testing.T) {
	good := `
[rpc]
listen = "127.0.0.1:7801"
idle = "30s"
[[rpc.method]]
name = "scales."
prefix = true
class = "bid"
[rpc.backend]
port-offset = 1000
`
	m, err := config.ParseOperator("m.toml", []byte(good))
	if err != nil || m.RPC.IdleTimeout.D().Seconds() != 30 || m.RPC.MaxConnections != 64 || len(m.RPC.Methods) != 1 {
		t.Fatalf("%+v %v", m, err)
	}
	for name, c := range map[string]struct{ old, new, want string }{
		"an unknown table":      {"[rpc]", "[rcp]", "m.toml:2: unknown key rcp (did you mean rpc?)"},
		"an unknown key":        {"listen", "listn", "m.toml:3: unknown key rpc.listn (did you mean listen?)"},
		"a key of a method":     {"prefix", "prefex", "m.toml:7: unknown key rpc.method.prefex (did you mean prefix?)"},
		"a key of the backends": {"port-offset", "port-ofset", "did you mean port-offset?"},
		"a wrong type":          {`true`, `"yes"`, "m.toml:7"},
		"a wrong duration":      {`"30s"`, `"30"`, "not a duration"},
		"no TOML":               {"idle = ", "idle = = ", "m.toml:4"},
		"a number out of range": {"1000", "100000", "rpc.backend.port-offset"},
	} {
		text := strings.Replace(good, c.old, c.new, 1)
		if text == good {
			t.Fatalf("%s: nothing changed", name)
		}
		_, err := config.ParseOperator("m.toml", []byte(text))
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v, want %q in one line", name, err, c.want)
		}
	}
	if _, err := config.LoadOperator(filepath.Join(t.TempDir(), "none.toml")); err == nil {
		t.Error("a missing file was accepted")
	}
	if m, err := config.LoadOperator(""); err != nil || m.RPC.Listen != "" {
		t.Errorf("without a file: %+v %v", m, err)
	}
}

// The shipped file is valid and enables nothing. It is still valid with all of its keys uncommented.
func TestShippedFile(t *testing.T) {
	path := filepath.Join("..", "..", "deploy", "marlreel.toml")
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	m, err := config.ParseOperator(path, data)
	if err != nil {
		t.Fatal(err)
	}
	if m.RPC.Listen != "" {
		t.Error("the shipped file enables a feature")
	}
	on := regexp.MustCompile(`(?m)^# ((?:\[.*\]|[a-z-]+ = .*))$`).ReplaceAllString(string(data), "$1")
	if m, err = config.ParseOperator(path, []byte(on)); err != nil || m.RPC.Listen == "" {
		t.Errorf("with all keys uncommented: %v", err)
	}
}
