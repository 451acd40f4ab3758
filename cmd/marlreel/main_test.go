package main

import (
	"bufio"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"marlreel/internal/standin"
)

const waitTimeout = 30 * time.Second

// With MARLREEL_TEST_CHILD set, the test binary runs as the daemon.
func TestMain(m *testing.M) {
	if os.Getenv("MARLREEL_TEST_CHILD") != "" {
		os.Args = os.Args[:1]
		main()
		return
	}
	os.Exit(m.Run())
}

const settings = `{"Balancers":1,"Rank":0,"Zone":0,"Tick":5.0,"Discovery":"pushed","FailureDomains":["koper"],
 "Kinds":["mid-2c"],"Feedback":{"How":"off","Names":[]},"Caps":{"ConnectTimeout":200.0,"MaxAttempts":4},
 "Services":[{"Name":"lot-list","Aim":600.0,"GiveUp":1000.0,"Effect":"retryable","Value":1.0}]}`

// scriptedDiscovery starts a discovery service, and returns its address and a channel of its watches.
func scriptedDiscovery(t *testing.T) (string, chan standin.ScriptedWatch) {
	t.Helper()
	s, err := standin.NewScript()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s.Addr, s.Watches
}

func wait[T any](t *testing.T, c <-chan T, what string) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(waitTimeout):
		t.Fatalf("timed out waiting for %s", what)
	}
	return v
}

// Guards against a fault in which SIGHUP ended the process. SIGHUP reads the file again, and its discovery address
// then overrides the environment's. An invalid file is logged on one line, and SIGTERM still ends the process.
func TestSignals(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	put := func(text string) {
		temp := path + ".new"
		if err := os.WriteFile(temp, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(temp, path); err != nil {
			t.Fatal(err)
		}
	}
	config := func(discovery string) string {
		data, err := json.Marshal(map[string]any{
			"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery,
			"seed": "8c1f", "settings": json.RawMessage(settings),
		})
		if err != nil {
			t.Fatal(err)
		}
		return string(data)
	}
	first, atFirst := scriptedDiscovery(t)
	second, atSecond := scriptedDiscovery(t)
	put(config("127.0.0.1:1"))
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(self)
	cmd.Env = append(os.Environ(), "MARLREEL_TEST_CHILD=1", "NODE_CONFIG="+path, "NODE_DISCOVERY="+first)
	out, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	t.Cleanup(func() { cmd.Process.Kill(); <-ended })
	lines := make(chan string, 64)
	var result error
	go func() {
		for s := bufio.NewScanner(out); s.Scan(); {
			lines <- s.Text()
		}
		result = cmd.Wait()
		close(ended)
	}()
	send := func(s os.Signal) {
		if err := cmd.Process.Signal(s); err != nil {
			t.Fatal(err)
		}
	}
	wait(t, atFirst, "the watch at the environment's address")
	put("{")
	send(syscall.SIGHUP)
	for !strings.Contains(wait(t, lines, "a line on the bad file"), "not reloaded") {
	}
	put(config(second))
	for range 5 { // in quick succession
		send(syscall.SIGHUP)
	}
	wait(t, atSecond, "the watch at the new address")
	send(syscall.SIGTERM)
	send(syscall.SIGHUP) // signals after SIGTERM have no effect
	send(syscall.SIGTERM)
	wait(t, ended, "the end")
	if result != nil {
		t.Errorf("ended with %v", result)
	}
}

// The daemon must not link packages for tests and rehearsals.
func TestLinksNoStandIn(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", ".").Output()
	if err != nil {
		t.Fatal(err)
	}
	for dep := range strings.Lines(string(out)) {
		if strings.Contains(dep, "/standin") || strings.Contains(dep, "/rehearsal") || strings.Contains(dep, "/scenarios") {
			t.Errorf("marlreel links %s", dep)
		}
	}
}

// Command lines and operator files that do not start the proxy: exit code, output and error.
func TestCommandLine(t *testing.T) {
	file := func(text string) string {
		path := filepath.Join(t.TempDir(), "marlreel.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	platform := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(platform, []byte(`{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c1f","settings":`+settings+`}`), 0o600); err != nil {
		t.Fatal(err)
	}
	const rpc = "[rpc]\nlisten = \"127.0.0.1:0\"\n[[rpc.method]]\nname = \"a\"\nclass = \"lot-list\"\n"
	for name, c := range map[string]struct {
		args     []string
		platform string
		code     int
		out, err string
	}{
		"help":              {[]string{"-h"}, "", 0, "marlreel --check --config", ""},
		"version":           {[]string{"--version"}, "", 0, "marlreel", ""},
		"an unknown flag":   {[]string{"--confg", "x"}, "", 2, "", "-confg"},
		"an extra argument": {[]string{"serve"}, "", 2, "", "unexpected argument"},
		"check of nothing":  {[]string{"--check"}, "", 2, "", "--config FILE"},
		"a good file":       {[]string{"--check", "--config", file(rpc)}, "", 0, "is valid", ""},
		"good for both":     {[]string{"--check", "--config", file(rpc)}, platform, 0, "is valid", ""},
		"an unknown key":    {[]string{"--check", "--config", file("[rpc]\nlisen = 1\n")}, "", 1, "", "did you mean listen?"},
		"an unknown class":  {[]string{"--check", "--config", file(strings.Replace(rpc, "lot-list", "lot-lists", 1))}, platform, 1, "", "did you mean lot-list?"},
		"no platform":       {nil, "", 1, "", "NODE_CONFIG is not set"},
	} {
		t.Setenv("NODE_CONFIG", c.platform)
		var out, errs strings.Builder
		code := run(c.args, &out, &errs)
		if code != c.code || !strings.Contains(out.String(), c.out) || !strings.Contains(errs.String(), c.err) || strings.Count(errs.String(), "\n") > 1 {
			t.Errorf("%s: exit %d, %q, %q", name, code, out.String(), errs.String())
		}
	}
}
