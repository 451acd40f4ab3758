package proxy

import (
	"os/exec"
	"slices"
	"strings"
	"testing"
)

// Checks the import directions: fronts and carriers import the engine, the engine imports the balancer, nothing imports
// a front, and the balancer imports only its own parts and the format of the learned state. Production code imports no
// stand-in and no test package.
func TestImportDirections(t *testing.T) {
	// The packages of this module that each package may import, tests excluded.
	may := map[string][]string{
		"marlreel/internal/balancer":                       {"marlreel/internal/balancer/connectionfailure", "marlreel/internal/balancer/decay", "marlreel/internal/balancer/prediction", "marlreel/internal/balancer/grayfailure", "marlreel/internal/process/learnedstate", "marlreel/internal/balancer/goodput", "marlreel/internal/balancer/concurrencylimit", "marlreel/internal/balancer/quota", "marlreel/internal/balancer/idempotency", "marlreel/internal/balancer/slowstart", "marlreel/internal/balancer/retrystorm", "marlreel/internal/balancer/portablemath"},
		"marlreel/internal/balancer/slowstart":             {},
		"marlreel/internal/balancer/retrystorm":            {"marlreel/internal/balancer/decay", "marlreel/internal/balancer/portablemath"},
		"marlreel/internal/process/learnedstate":           {"marlreel/internal/balancer/connections", "marlreel/internal/balancer/prediction", "marlreel/internal/balancer/grayfailure", "marlreel/internal/balancer/goodput"},
		"marlreel/internal/process/learnedstate/codec":     {"marlreel/internal/process/learnedstate"},
		"marlreel/internal/balancer/idempotency":           {},
		"marlreel/internal/balancer/quota":                 {"marlreel/internal/balancer/decay"},
		"marlreel/internal/process/adminserver":            {},
		"marlreel/internal/process/metrics":                {"marlreel/internal/balancer", "marlreel/internal/dataplane/engine", "marlreel/internal/balancer/retrystorm"},
		"marlreel/internal/process/handover":               {},
		"marlreel/internal/balancer/grayfailure":           {"marlreel/internal/balancer/decay", "marlreel/internal/balancer/portablemath"},
		"marlreel/internal/balancer/connectionfailure":     {"marlreel/internal/balancer/decay"},
		"marlreel/internal/balancer/portablemath":          {},
		"marlreel/internal/balancer/decay":                 {"marlreel/internal/balancer/portablemath"},
		"marlreel/internal/balancer/prediction":            {"marlreel/internal/balancer/portablemath"},
		"marlreel/internal/balancer/goodput":               {},
		"marlreel/internal/balancer/concurrencylimit":      {},
		"marlreel/internal/stricttoml":                     {},
		"marlreel/internal/simwire":                        {"marlreel/internal/balancer"},
		"marlreel/internal/dataplane/engine":               {"marlreel/internal/balancer", "marlreel/internal/process/learnedstate", "marlreel/internal/balancer/stableindex", "marlreel/internal/balancer/retrystorm"},
		"marlreel/internal/balancer/stableindex":           {},
		"marlreel/internal/discovery/platformwatch":        {"marlreel/internal/balancer", "marlreel/internal/dataplane/engine"},
		"marlreel/internal/balancer/connections":           {"marlreel/internal/balancer/portablemath"},
		"marlreel/internal/process/budget":                 {},
		"marlreel/internal/sockets":                        {},
		"marlreel/internal/dataplane/eventstream":          {},
		"marlreel/internal/dataplane/httpproxy":            {"marlreel/internal/balancer", "marlreel/internal/dataplane/eventstream", "marlreel/internal/process/budget", "marlreel/internal/balancer/connections", "marlreel/internal/dataplane/engine", "marlreel/internal/sockets"},
		"marlreel/internal/dataplane/msgpackrpc":           {"marlreel/internal/balancer", "marlreel/internal/dataplane/engine", "marlreel/internal/stricttoml"},
		"marlreel/internal/actionable":                     {},
		"marlreel/internal/process/logs":                   {},
		"marlreel/internal/fleet/transition":               {"marlreel/internal/balancer"},
		"marlreel/internal/fleet/agree":                    {},
		"marlreel/internal/fleet/disk":                     {"marlreel/internal/actionable", "marlreel/internal/fleet/agree"},
		"marlreel/internal/fleet/peers":                    {},
		"marlreel/internal/fleet":                          {"marlreel/internal/actionable", "marlreel/internal/balancer", "marlreel/internal/fleet/agree", "marlreel/internal/fleet/disk", "marlreel/internal/fleet/peers", "marlreel/internal/fleet/transition", "marlreel/internal/stricttoml"},
		"marlreel/internal/experiment":                     {"marlreel/internal/stricttoml"},
		"marlreel/internal/config":                         {"marlreel/internal/balancer", "marlreel/internal/discovery/platformwatch", "marlreel/internal/stricttoml", "marlreel/internal/simwire", "marlreel/internal/dataplane/msgpackrpc", "marlreel/internal/discovery/registry", "marlreel/internal/fleet", "marlreel/internal/fleet/transition", "marlreel/internal/process/logs"},
		"marlreel/internal/balancer/staleness":             {"marlreel/internal/process/learnedstate", "marlreel/internal/balancer/portablemath"},
		"marlreel/internal/process/learnedstate/statefile": {"marlreel/internal/balancer/staleness", "marlreel/internal/process/learnedstate", "marlreel/internal/process/learnedstate/codec"},
		"marlreel/internal/process/background":             {},
		"marlreel/internal/discovery/membership":           {},
		"marlreel/internal/discovery/registry":             {"marlreel/internal/discovery/membership", "marlreel/internal/stricttoml"},
		"marlreel/internal/balancer/budgetshare":           {},
		"marlreel/internal/balancer/prefixcache":           {"marlreel/internal/balancer"},
		"marlreel/internal/controlplane/chain":             {"marlreel/internal/api"},
		"marlreel/internal/controlplane/state":             {"marlreel/internal/api", "marlreel/internal/controlplane/configuration", "marlreel/internal/controlplane/result"},
		"marlreel/internal/controlplane/configuration":     {"marlreel/internal/controlplane/result"},
		"marlreel/internal/placement":                      {},
		"marlreel/internal/controlplane/lease":             {"marlreel/internal/api"},
		"marlreel/internal/distribution/watch":             {"marlreel/internal/api", "marlreel/internal/controlplane/state", "marlreel/internal/process/logevent", "marlreel/internal/process/timing"},
		"marlreel/internal/controlplane/store":             {"marlreel/internal/api", "marlreel/internal/controlplane/chain"},
		"marlreel/internal/process/logevent":               {},
		"marlreel/internal/process/transport":              {"marlreel/internal/sockets"},
		"marlreel/internal/process/host":                   {"marlreel/internal/process/bootstrap", "marlreel/internal/controlplane/store"},
		"marlreel/internal/dataplane/gateway":              {"marlreel/internal/balancer", "marlreel/internal/dataplane/eventstream", "marlreel/internal/dataplane/engine", "marlreel/internal/dataplane/httpproxy", "marlreel/internal/balancer/prefixcache", "marlreel/internal/balancer/budgetshare", "marlreel/internal/process/budget", "marlreel/internal/api", "marlreel/internal/dataplane/backlog", "marlreel/internal/process/bootstrap", "marlreel/internal/controlplane/configuration", "marlreel/internal/distribution/watch", "marlreel/internal/process/host", "marlreel/internal/process/metricserver", "marlreel/internal/dataplane/routing", "marlreel/internal/controlplane/state", "marlreel/internal/process/transport", "marlreel/internal/process/logevent", "marlreel/internal/dataplane/quotaclient", "marlreel/internal/sockets"},
		"marlreel/internal/dataplane/quotaclient":          {"marlreel/internal/api", "marlreel/internal/controlplane/state", "marlreel/internal/distribution/watch", "marlreel/internal/process/transport", "marlreel/internal/quota/ledger", "marlreel/internal/quota/shard"},
		"marlreel/internal/quota/shard":                    {},
		"marlreel/internal/quota/tokenbucket":              {},
		"marlreel/internal/quota/ledger":                   {"marlreel/internal/quota/shard", "marlreel/internal/quota/tokenbucket"},
		"marlreel/internal/dataplane/backlog":              {"marlreel/internal/api"},
		"marlreel/internal/dataplane/routing":              {"marlreel/internal/balancer", "marlreel/internal/balancer/prefixcache", "marlreel/internal/balancer/budgetshare", "marlreel/internal/dataplane/backlog"},
		"marlreel/internal/process/metricserver":           {"marlreel/internal/process/host", "marlreel/internal/process/logevent", "marlreel/internal/process/transport"},
		"marlreel/internal/process/timing":                 {},
		"marlreel/internal/discovery/sources":              {"marlreel/internal/balancer", "marlreel/internal/discovery/platformwatch", "marlreel/internal/dataplane/engine", "marlreel/internal/discovery/membership", "marlreel/internal/discovery/registry"},
	}
	out, err := exec.Command("go", "list", "-f", "{{.ImportPath}} {{join .Imports \" \"}}", "marlreel/...").Output()
	if err != nil {
		t.Fatal(err)
	}
	// Packages that make decisions do no I/O, don't block and don't use randomness.
	pure := map[string]bool{
		"marlreel/internal/controlplane/chain": true, "marlreel/internal/controlplane/state": true,
		"marlreel/internal/placement": true, "marlreel/internal/balancer/budgetshare": true, "marlreel/internal/balancer/prefixcache": true,
		"marlreel/internal/dataplane/backlog": true, "marlreel/internal/dataplane/eventstream": true, "marlreel/internal/dataplane/routing": true,
		"marlreel/internal/quota/shard": true, "marlreel/internal/quota/tokenbucket": true, "marlreel/internal/quota/ledger": true,
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
			if strings.HasPrefix(imported, "marlreel/") && !slices.Contains(allowed, imported) {
				t.Errorf("%s imports %s", f[0], imported)
			}
			if pure[f[0]] && slices.Contains([]string{"net", "os", "context", "sync", "net/http", "math/rand"}, imported) {
				t.Errorf("%s must be pure, but imports %s", f[0], imported)
			}
			if f[0] == "marlreel/internal/balancer" && slices.Contains([]string{"net", "os", "context", "sync", "log", "net/http"}, imported) {
				t.Errorf("the balancer imports %s", imported)
			}
		}
	}
	if seen < 6 {
		t.Errorf("only %d packages were found", seen)
	}
}
