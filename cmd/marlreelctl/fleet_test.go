//go:build linux

package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"marlreel/internal/fleettest"
)

// operatedFleet is a fleet of proxy processes, with the folder of its files.
type operatedFleet struct {
	*fleettest.Fleet
	dir string
}

func startOperatedFleet(t *testing.T) *operatedFleet {
	t.Helper()
	program, err := fleettest.Build(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	f, err := fleettest.New(fleettest.Options{Program: program, Dir: dir, Proxies: 4, Nodes: 1, Settings: fleettest.Usual(), Keepers: 3, Within: 2 * time.Second, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	if err := f.StartAll(); err != nil {
		t.Fatal(err)
	}
	return &operatedFleet{Fleet: f, dir: dir}
}

func (f *operatedFleet) waitForVersion(t *testing.T, version uint64) {
	t.Helper()
	if err := f.Wait(f.Proxies, "a version", func(_ *fleettest.Proxy, st fleettest.Status) bool { return st.Goes(version) }); err != nil {
		t.Fatal(err)
	}
}

func (f *operatedFleet) writeFile(t *testing.T, name string, text []byte) string {
	t.Helper()
	path := filepath.Join(f.dir, name)
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// run runs a command with the last proxy's configuration, and checks its exit code and that it prints a text.
func (f *operatedFleet) run(t *testing.T, code int, want string, args ...string) string {
	t.Helper()
	var out, errs bytes.Buffer
	got := run(t.Context(), append([]string{"--config", filepath.Join(f.dir, "own-3"), "fleet"}, args...), &out, &errs)
	text := out.String() + errs.String()
	if got != code || !strings.Contains(text, want) {
		t.Errorf("%v: exit code %d; want %q in\n%s", args, got, want, text)
	}
	return out.String()
}

// Runs the fleet commands on four proxy processes. Each command must take effect, and a rejection must name the fault
// and the remedy.
func TestFleetCommands(t *testing.T) {
	t.Parallel()
	f := startOperatedFleet(t)
	f.waitForVersion(t, 1)
	waitForRenewals(t, f)
	checkProposals(t, f)
	checkKeepers(t, f)
	checkLists(t, f)
	checkUnreachable(t, f)
}

func waitForRenewals(t *testing.T, f *operatedFleet) {
	t.Helper()
	// The keepers know a proxy's version from its last lease renewal, which may have been before version 1.
	if err := f.Wait(f.Proxies[:1], "a renewal of each", func(*fleettest.Proxy, fleettest.Status) bool {
		var out, errs bytes.Buffer
		run(t.Context(), []string{"--config", filepath.Join(f.dir, "own-3"), "fleet", "members"}, &out, &errs)
		return strings.Count(out.String(), "newest") == len(f.Proxies)
	}); err != nil {
		t.Fatal(err)
	}
}

func checkProposals(t *testing.T, f *operatedFleet) {
	t.Helper()
	two := f.writeFile(t, "two.json", f.Text(fleettest.Usual().Try(2)))
	bad := f.writeFile(t, "bad.json", bytes.Replace(f.Text(fleettest.Usual()), []byte(`"MaxAttempts":4`), []byte(`"MaxAttempts":0`), 1))
	short := f.writeFile(t, "short.json", bytes.Replace(f.Text(fleettest.Usual()), []byte(`"MaxAttempts":4,`), nil, 1))
	f.run(t, 0, "newest", "members")
	f.run(t, 0, "it is good", "propose", "--dry-run", two)
	f.run(t, 1, "MaxAttempts", "propose", "--dry-run", bad)
	f.run(t, 1, "settings.Caps.MaxAttempts is missing", "propose", short)
	f.run(t, 0, "version 2 is decided", "propose", "--why", "calmer", "--on", "1", two)
	f.run(t, 1, "another version was decided first: version 2", "propose", "--on", "1", filepath.Join(f.dir, "config-0"))
	f.run(t, 0, "it is version 2 already", "propose", two)
	f.waitForVersion(t, 2)
	f.run(t, 0, "calmer", "versions")
	f.run(t, 0, "Caps.MaxAttempts: 4, then 2", "diff", "1", "2")
	f.run(t, 0, "they contradict each other (attempts 4 and 2)", "diff", "1", "2")
	f.run(t, 0, "they say the same", "diff", "2", two)
	f.run(t, 1, "the text of version 9 is not kept", "diff", "1", "9")
	f.run(t, 0, "version 3 is decided", "rollback", "1")
	f.waitForVersion(t, 3)
}

func checkKeepers(t *testing.T, f *operatedFleet) {
	t.Helper()
	f.run(t, 0, "n3 is a keeper", "keepers", "add", "n3")
	f.run(t, 0, "n2 is no keeper any more", "keepers", "remove", "n2")
	f.run(t, 1, "n2 is no keeper", "keepers", "remove", "n2")
}

func checkLists(t *testing.T, f *operatedFleet) {
	t.Helper()
	f.run(t, 0, "all that answered see the same nodes", "lists")
	f.Proxies[1].Late(time.Minute)
	f.Put(0, "Terminating")
	if err := f.Wait(f.Proxies, "the drain", func(_ *fleettest.Proxy, st fleettest.Status) bool { return len(st.View.Ends) > 0 }); err != nil {
		t.Fatal(err)
	}
	f.run(t, 0, "s-0 is seen by n1, and not by n0, n2, n3", "lists")
	f.run(t, 0, "begins anew", "floor", "reset", "platform")
	if err := f.Wait(f.Proxies, "three keepers", func(_ *fleettest.Proxy, st fleettest.Status) bool { return len(st.View.Keepers) == 3 }); err != nil {
		t.Fatal(err)
	}
	var state struct{ Keepers []struct{ Name string } }
	if err := json.Unmarshal([]byte(f.run(t, 0, "keepers", "--json", "versions")), &state); err != nil || len(state.Keepers) != 3 {
		t.Errorf("%+v %v", state, err)
	}
}

func checkUnreachable(t *testing.T, f *operatedFleet) {
	t.Helper()
	f.Proxies[3].Kill()
	f.run(t, 1, "see whether the proxy runs", "members")
	var out, errs bytes.Buffer
	if code := run(t.Context(), []string{"fleet", "members"}, &out, &errs); code != 2 || !strings.Contains(errs.String(), "--socket or --config is missing") {
		t.Errorf("%d %s", code, errs.String())
	}
}
