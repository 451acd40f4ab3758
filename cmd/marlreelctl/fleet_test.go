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

// An operator's morning with a fleet of three processes: each command does what it says, and a refusal names what is
// wrong and what can be done.
func TestFleetCommands(t *testing.T) {
	t.Parallel()
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
	goes := func(version uint64) {
		t.Helper()
		if err := f.Wait(f.Proxies, "a version", func(_ *fleettest.Proxy, st fleettest.Status) bool { return st.Goes(version) }); err != nil {
			t.Fatal(err)
		}
	}
	goes(1)
	write := func(name string, text []byte) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	two := write("two.json", f.Text(fleettest.Usual().Try(2)))
	bad := write("bad.json", bytes.Replace(f.Text(fleettest.Usual()), []byte(`"MaxAttempts":4`), []byte(`"MaxAttempts":0`), 1))
	short := write("short.json", bytes.Replace(f.Text(fleettest.Usual()), []byte(`"MaxAttempts":4,`), nil, 1))
	ask := func(code int, want string, args ...string) string {
		t.Helper()
		var out, errs bytes.Buffer
		got := run(t.Context(), append([]string{"--config", filepath.Join(dir, "own-3"), "fleet"}, args...), &out, &errs)
		if text := out.String() + errs.String(); got != code || !strings.Contains(text, want) {
			t.Errorf("%v: %d, %q is wanted:\n%s", args, got, want, text)
		}
		return out.String()
	}
	// The keepers know what each goes by from its last renewal, which may be of before version 1.
	if err := f.Wait(f.Proxies[:1], "a renewal of each", func(*fleettest.Proxy, fleettest.Status) bool {
		var out, errs bytes.Buffer
		run(t.Context(), []string{"--config", filepath.Join(dir, "own-3"), "fleet", "members"}, &out, &errs)
		return strings.Count(out.String(), "newest") == len(f.Proxies)
	}); err != nil {
		t.Fatal(err)
	}
	ask(0, "newest", "members")
	ask(0, "it is good", "propose", "--dry-run", two)
	ask(1, "MaxAttempts", "propose", "--dry-run", bad)
	ask(1, "settings.Caps.MaxAttempts is missing", "propose", short)
	ask(0, "version 2 is decided", "propose", "--why", "calmer", "--on", "1", two)
	ask(1, "another version was decided first: version 2", "propose", "--on", "1", filepath.Join(dir, "config-0"))
	ask(0, "it is version 2 already", "propose", two)
	goes(2)
	ask(0, "calmer", "versions")
	ask(0, "Caps.MaxAttempts: 4, then 2", "diff", "1", "2")
	ask(0, "they contradict each other (attempts 4 and 2)", "diff", "1", "2")
	ask(0, "they say the same", "diff", "2", two)
	ask(1, "the text of version 9 is not kept", "diff", "1", "9")
	ask(0, "version 3 is decided", "rollback", "1")
	goes(3)
	ask(0, "n3 is a keeper", "keepers", "add", "n3")
	ask(0, "n2 is no keeper any more", "keepers", "remove", "n2")
	ask(1, "n2 is no keeper", "keepers", "remove", "n2")
	ask(0, "all that answered see the same nodes", "lists")
	f.Proxies[1].Late(time.Minute)
	f.Put(0, "Terminating")
	if err := f.Wait(f.Proxies, "the drain", func(_ *fleettest.Proxy, st fleettest.Status) bool { return len(st.View.Ends) > 0 }); err != nil {
		t.Fatal(err)
	}
	ask(0, "s-0 is seen by n1, and not by n0, n2, n3", "lists")
	ask(0, "begins anew", "floor", "reset", "platform")
	if err := f.Wait(f.Proxies, "three keepers", func(_ *fleettest.Proxy, st fleettest.Status) bool { return len(st.View.Keepers) == 3 }); err != nil {
		t.Fatal(err)
	}
	var state struct{ Keepers []struct{ Name string } }
	if err := json.Unmarshal([]byte(ask(0, "keepers", "--json", "versions")), &state); err != nil || len(state.Keepers) != 3 {
		t.Errorf("%+v %v", state, err)
	}
	f.Proxies[3].Kill()
	ask(1, "see whether the proxy runs", "members")
	var out, errs bytes.Buffer
	if code := run(t.Context(), []string{"fleet", "members"}, &out, &errs); code != 2 || !strings.Contains(errs.String(), "--socket or --config is missing") {
		t.Errorf("%d %s", code, errs.String())
	}
}
