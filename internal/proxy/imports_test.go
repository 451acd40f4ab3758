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
		"marlreel":                               {"marlreel/internal/judge/breaks", "marlreel/internal/judge/fade", "marlreel/internal/judge/forecast", "marlreel/internal/judge/gray", "marlreel/internal/learnt", "marlreel/internal/judge/ledger", "marlreel/internal/judge/limit", "marlreel/internal/judge/quota", "marlreel/internal/judge/repeat", "marlreel/internal/judge/slowstart", "marlreel/internal/judge/storm"},
		"marlreel/internal/judge/slowstart":      {},
		"marlreel/internal/judge/storm":          {"marlreel/internal/judge/fade"},
		"marlreel/internal/learnt":               {"marlreel/internal/judge/conns", "marlreel/internal/judge/forecast", "marlreel/internal/judge/gray", "marlreel/internal/judge/ledger"},
		"marlreel/internal/learnt/codec":         {"marlreel/internal/learnt"},
		"marlreel/internal/judge/repeat":         {},
		"marlreel/internal/judge/quota":          {"marlreel/internal/judge/fade"},
		"marlreel/internal/process/control":      {},
		"marlreel/internal/process/metrics":      {"marlreel", "marlreel/internal/engine", "marlreel/internal/judge/storm"},
		"marlreel/internal/process/handover":     {},
		"marlreel/internal/judge/gray":           {"marlreel/internal/judge/fade"},
		"marlreel/internal/judge/breaks":         {"marlreel/internal/judge/fade"},
		"marlreel/internal/judge/fade":           {},
		"marlreel/internal/judge/forecast":       {},
		"marlreel/internal/judge/ledger":         {},
		"marlreel/internal/judge/limit":          {},
		"marlreel/internal/strict":               {},
		"marlreel/internal/wire":                 {"marlreel"},
		"marlreel/internal/engine":               {"marlreel", "marlreel/internal/learnt", "marlreel/internal/judge/slots", "marlreel/internal/judge/storm"},
		"marlreel/internal/judge/slots":          {},
		"marlreel/internal/lists/discovery":      {"marlreel", "marlreel/internal/engine"},
		"marlreel/internal/judge/conns":          {},
		"marlreel/internal/process/budget":       {},
		"marlreel/internal/sockets":              {},
		"marlreel/internal/httpproxy":            {"marlreel", "marlreel/internal/process/budget", "marlreel/internal/judge/conns", "marlreel/internal/engine", "marlreel/internal/sockets"},
		"marlreel/internal/rpc":                  {"marlreel", "marlreel/internal/engine", "marlreel/internal/process/logs", "marlreel/internal/strict"},
		"marlreel/internal/advice":               {},
		"marlreel/internal/process/logs":         {},
		"marlreel/internal/fleet/rules":          {"marlreel"},
		"marlreel/internal/fleet/agree":          {},
		"marlreel/internal/fleet/disk":           {"marlreel/internal/fleet/agree"},
		"marlreel/internal/fleet/peers":          {},
		"marlreel/internal/fleet":                {"marlreel", "marlreel/internal/fleet/agree", "marlreel/internal/fleet/disk", "marlreel/internal/fleet/peers", "marlreel/internal/fleet/rules", "marlreel/internal/strict"},
		"marlreel/internal/experiment":           {"marlreel/internal/strict"},
		"marlreel/internal/config":               {"marlreel", "marlreel/internal/lists/discovery", "marlreel/internal/strict", "marlreel/internal/wire", "marlreel/internal/rpc", "marlreel/internal/lists/registry", "marlreel/internal/fleet", "marlreel/internal/fleet/rules", "marlreel/internal/process/logs"},
		"marlreel/internal/judge/doubt":          {"marlreel/internal/learnt"},
		"marlreel/internal/process/store":        {"marlreel/internal/judge/doubt", "marlreel/internal/learnt", "marlreel/internal/learnt/codec"},
		"marlreel/internal/process/background":   {},
		"marlreel/internal/lists/members":        {},
		"marlreel/internal/lists/registry":       {"marlreel/internal/lists/members", "marlreel/internal/strict"},
		"marlreel/internal/judge/shares":         {},
		"marlreel/internal/judge/residency":      {"marlreel"},
		"marlreel/internal/system/chain":         {"marlreel/internal/system/api"},
		"marlreel/internal/system/state":         {"marlreel/internal/system/api", "marlreel/internal/system/configuration", "marlreel/internal/system/result"},
		"marlreel/internal/system/configuration": {"marlreel/internal/system/result"},
		"marlreel/internal/system/placement":     {},
		"marlreel/internal/system/ownership":     {"marlreel/internal/system/api"},
		"marlreel/internal/system/feed":          {"marlreel/internal/system/api", "marlreel/internal/system/state"},
		"marlreel/internal/system/store":         {"marlreel/internal/system/api", "marlreel/internal/system/chain"},
		"marlreel/internal/system/transport":     {"marlreel/internal/sockets"},
		"marlreel/internal/system/host":          {"marlreel/internal/system/boot", "marlreel/internal/system/store"},
		"marlreel/internal/system/gateway":       {"marlreel", "marlreel/internal/engine", "marlreel/internal/httpproxy", "marlreel/internal/judge/residency", "marlreel/internal/judge/shares", "marlreel/internal/process/budget", "marlreel/internal/system/api", "marlreel/internal/system/backlog", "marlreel/internal/system/boot", "marlreel/internal/system/configuration", "marlreel/internal/system/feed", "marlreel/internal/system/host", "marlreel/internal/system/metrics", "marlreel/internal/system/routing", "marlreel/internal/system/state", "marlreel/internal/system/transport"},
		"marlreel/internal/system/backlog":       {"marlreel/internal/system/api"},
		"marlreel/internal/system/routing":       {"marlreel", "marlreel/internal/judge/residency", "marlreel/internal/judge/shares", "marlreel/internal/system/backlog"},
		"marlreel/internal/system/metrics":       {"marlreel/internal/system/host", "marlreel/internal/system/transport"},
		"marlreel/internal/lists/sources":        {"marlreel", "marlreel/internal/lists/discovery", "marlreel/internal/engine", "marlreel/internal/lists/members", "marlreel/internal/lists/registry"},
	}
	out, err := exec.Command("go", "list", "-f", "{{.ImportPath}} {{join .Imports \" \"}}", "marlreel/...").Output()
	if err != nil {
		t.Fatal(err)
	}
	// The deciders of the system open nothing and wait for nobody.
	pure := map[string]bool{
		"marlreel/internal/system/chain": true, "marlreel/internal/system/state": true,
		"marlreel/internal/system/placement": true, "marlreel/internal/judge/shares": true, "marlreel/internal/judge/residency": true,
		"marlreel/internal/system/backlog": true, "marlreel/internal/system/routing": true,
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
			if pure[f[0]] && slices.Contains([]string{"net", "os", "context", "sync", "net/http", "math/rand"}, imported) {
				t.Errorf("%s decides, and imports %s", f[0], imported)
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
