package proxy

import (
	"os/exec"
	"slices"
	"strings"
	"testing"
)

// Imports go one way: fronts and carriers know the engine, the engine knows the root
// package, nothing knows a front, and decisions know nothing. The daemon links no
// stand-in and no test.
func TestImportDirections(t *testing.T) {
	// What each package may import of this module, tests left out.
	may := map[string][]string{
		"marlreel":                       {"marlreel/internal/breaks", "marlreel/internal/fade", "marlreel/internal/forecast", "marlreel/internal/gray", "marlreel/internal/learnt", "marlreel/internal/ledger", "marlreel/internal/limit", "marlreel/internal/quota", "marlreel/internal/storm"},
		"marlreel/internal/storm":        {"marlreel/internal/fade"},
		"marlreel/internal/learnt":       {"marlreel/internal/conns", "marlreel/internal/forecast", "marlreel/internal/gray", "marlreel/internal/ledger"},
		"marlreel/internal/learnt/codec": {"marlreel/internal/learnt"},
		"marlreel/internal/quota":        {"marlreel/internal/fade"},
		"marlreel/internal/control":      {},
		"marlreel/internal/metrics":      {"marlreel", "marlreel/internal/engine", "marlreel/internal/storm"},
		"marlreel/internal/handover":     {},
		"marlreel/internal/gray":         {"marlreel/internal/fade"},
		"marlreel/internal/breaks":       {"marlreel/internal/fade"},
		"marlreel/internal/fade":         {},
		"marlreel/internal/forecast":     {},
		"marlreel/internal/ledger":       {},
		"marlreel/internal/limit":        {},
		"marlreel/internal/strict":       {},
		"marlreel/internal/wire":         {"marlreel"},
		"marlreel/internal/engine":       {"marlreel", "marlreel/internal/learnt", "marlreel/internal/slots", "marlreel/internal/storm"},
		"marlreel/internal/slots":        {},
		"marlreel/internal/discovery":    {"marlreel", "marlreel/internal/engine"},
		"marlreel/internal/conns":        {},
		"marlreel/internal/budget":       {},
		"marlreel/internal/httpproxy":    {"marlreel", "marlreel/internal/budget", "marlreel/internal/conns", "marlreel/internal/engine"},
		"marlreel/internal/rpc":          {"marlreel", "marlreel/internal/engine", "marlreel/internal/strict"},
		"marlreel/internal/experiment":   {"marlreel/internal/strict"},
		"marlreel/internal/config":       {"marlreel", "marlreel/internal/discovery", "marlreel/internal/strict", "marlreel/internal/wire", "marlreel/internal/rpc", "marlreel/internal/registry"},
		"marlreel/internal/doubt":        {"marlreel/internal/learnt"},
		"marlreel/internal/store":        {"marlreel/internal/doubt", "marlreel/internal/learnt", "marlreel/internal/learnt/codec"},
		"marlreel/internal/background":   {},
		"marlreel/internal/members":      {},
		"marlreel/internal/registry":     {"marlreel/internal/members", "marlreel/internal/strict"},
		"marlreel/internal/sources":      {"marlreel", "marlreel/internal/discovery", "marlreel/internal/engine", "marlreel/internal/members", "marlreel/internal/registry"},
	}
	out, err := exec.Command("go", "list", "-f", "{{.ImportPath}} {{join .Imports \" \"}}", "marlreel/...").Output()
	if err != nil {
		t.Fatal(err)
	}
	seen := 0
	for line := range strings.Lines(string(out)) {
		f := strings.Fields(line)
		allowed, bound := may[f[0]]
		if !bound {
			continue
		}
		seen++
		for _, imported := range f[1:] {
			if (imported == "marlreel" || strings.HasPrefix(imported, "marlreel/")) && !slices.Contains(allowed, imported) {
				t.Errorf("%s imports %s", f[0], imported)
			}
			if f[0] == "marlreel" && slices.Contains([]string{"net", "os", "context", "sync", "log", "net/http"}, imported) {
				t.Errorf("the decisions import %s", imported)
			}
		}
	}
	if seen < 6 {
		t.Errorf("only %d packages were found", seen)
	}
}
