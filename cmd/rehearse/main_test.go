package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"marlreel/internal/rehearsal"
	"marlreel/internal/standin"
	"marlreel/scenarios"
)

// As a child process the test binary is rehearse itself, so that --baseline finds a proxy.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && os.Args[1] == "plain-proxy" {
		main()
		return
	}
	if len(os.Args) > 1 && os.Args[1] == "--check" { // act as a daemon that accepts its settings
		return
	}
	os.Exit(m.Run())
}

func runCommand(t *testing.T, args ...string) (int, string, string) {
	t.Helper()
	var out, err bytes.Buffer
	code := run(t.Context(), args, &out, &err)
	return code, out.String(), err.String()
}

func writeScenario(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "day.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

const tinyScenario = `
length = "1s"
[[fleet.nodes]]
kind = "mid"
count = 2
cores = 2
speed = [1, 1]
slots = 10
queue = 10
[proxies]
count = 1
[traffic]
rate = 30
[[classes]]
name = "bid"
share = 1
work = "5ms"
wait = "5ms"
aim = "1900ms"
give-up = "2s"
worth = 8
effect = "unsafe"
[[houses]]
name = "obala"
share = 1
`

func TestWrongUse(t *testing.T) {
	for name, c := range map[string]struct {
		args []string
		want string
	}{
		"an unknown command":  {[]string{"play"}, "no scenario \"play\""},
		"an unknown flag":     {[]string{"run", "--sead", "3"}, "unknown flag --sead"},
		"an unknown scenario": {[]string{"run", "noon"}, "rehearse list"},
		"no file":             {[]string{"check", "./none.toml"}, "none.toml"},
		"a bad file":          {[]string{"check", writeScenario(t, strings.Replace(tinyScenario, "count = 2", "cuont = 2", 1))}, "did you mean count?"},
		"no program":          {[]string{"run", "calm", "--marlreel", "/nowhere/marlreel"}, "not an executable file"},
		"two proxies":         {[]string{"run", "calm", "--marlreel", "x", "--baseline", "random"}, "give one"},
		"a baseline":          {[]string{"run", "calm", "--baseline", "best"}, "baseline"},
		"no runs":             {[]string{"compare", "a", "b", "--runs", "0"}, "--runs"},
		"an open address":     {[]string{"up", "--marlreel", os.Args[0], "--listen", "0.0.0.0:7800"}, "loopback"},
		"no nodes":            {[]string{"up", "--marlreel", os.Args[0], "--nodes", "0"}, "--nodes"},
	} {
		code, out, err := runCommand(t, c.args...)
		if code != exitUsage || !strings.Contains(err, c.want) || strings.Count(err, "\n") != 1 || out != "" {
			t.Errorf("%s: exit %d, %q, printed %q; want one line with %q", name, code, err, out, c.want)
		}
	}
}

func TestListAndCheck(t *testing.T) {
	code, out, _ := runCommand(t, "list")
	if code != exitKept || !strings.Contains(out, "morning") || !strings.Contains(out, "stale") {
		t.Errorf("list: %d %q", code, out)
	}
	var rows []struct{ Name string }
	if _, out, _ := runCommand(t, "list", "--json"); json.Unmarshal([]byte(out), &rows) != nil || len(rows) < 6 {
		t.Errorf("list --json: %q", out)
	}
	var checked struct{ Schedule string }
	if code, out, _ := runCommand(t, "check", "morning", "--json"); code != 0 || json.Unmarshal([]byte(out), &checked) != nil || len(checked.Schedule) != 64 {
		t.Errorf("check: %d %q", code, out)
	}
	if code, out, _ := runCommand(t, "-h"); code != exitKept || !strings.Contains(out, "rehearse compare a b") {
		t.Errorf("-h: %d %q", code, out)
	}
}

// A run against the baseline prints the report and writes it to the folder.
func TestRunBaseline(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "report")
	code, out, errs := runCommand(t, "run", writeScenario(t, tinyScenario), "--baseline", "random", "--out", dir, "--json")
	if code != exitKept && code != exitVoid {
		t.Fatalf("exit %d: %s", code, errs)
	}
	var rep struct {
		Schedule string
		Requests int
	}
	if err := json.Unmarshal([]byte(out), &rep); err != nil || rep.Requests == 0 {
		t.Fatalf("printed %q: %v", out, err)
	}
	for _, name := range []string{"report.json", "report.html", "n0.log"} {
		if _, err := os.Stat(filepath.Join(dir, name)); err != nil {
			t.Error(err)
		}
	}
	if code, out, _ := runCommand(t, "compare", dir, dir); code > exitVoid || !strings.Contains(out, "service") || strings.Contains(out, "differ") {
		t.Errorf("compare: %d %q", code, out)
	}
}

// An interrupted run ends with exitVoid and a message.
func TestInterrupt(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	var out, errs bytes.Buffer
	time.AfterFunc(500*time.Millisecond, cancel)
	code := run(ctx, []string{"run", writeScenario(t, strings.Replace(tinyScenario, `"1s"`, `"60s"`, 1)), "--baseline", "random"}, &out, &errs)
	if code != exitVoid || !strings.Contains(errs.String(), "interrupted; everything it started has stopped") {
		t.Errorf("exit %d, %q", code, errs.String())
	}
}

// buildDaemon builds the daemon, and returns its path.
func buildDaemon(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "marlreel")
	if out, err := exec.Command("go", "build", "-o", path, "marlreel/cmd/marlreel").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return path
}

// up serves at its address until it is interrupted, and the requests that it suggests work.
func TestUp(t *testing.T) {
	daemon := buildDaemon(t)
	addr, err := standin.Address()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	r, w := io.Pipe()
	ended := make(chan int, 1)
	var errs bytes.Buffer
	go func() {
		ended <- run(ctx, []string{"up", "--marlreel", daemon, "--listen", addr, "--nodes", "2"}, w, &errs)
		w.Close()
	}()
	var text strings.Builder
	buf := make([]byte, 4096)
	for !strings.Contains(text.String(), "/ready\n") {
		n, err := r.Read(buf)
		text.Write(buf[:n])
		if err != nil {
			t.Fatalf("up ended early: %s %s", text.String(), errs.String())
		}
	}
	go func() { _, _ = io.Copy(io.Discard, r) }()
	if got := strings.Count(text.String(), "curl -i"); got != 5 {
		t.Errorf("%d suggested requests, want 5, in %s", got, text.String())
	}
	for i, class := range []string{"lot-list", "bid", "pickup"} {
		requestClass(t, addr, class, i+1)
	}
	cancel()
	if code := <-ended; code != exitKept {
		t.Errorf("exit %d: %s", code, errs.String())
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatalf("the address is still in use: %v", err)
	}
	ln.Close()
}

// requestClass sends a request of a class. It may be refused or fail on a machine that stalls, but must not get a 4xx
// status.
func requestClass(t *testing.T, addr, class string, number int) {
	t.Helper()
	method := http.MethodPost
	if class == "lot-list" {
		method = http.MethodGet
	}
	q, err := http.NewRequest(method, "http://"+addr+"/"+class+"/7f3a9c21", nil)
	if err != nil {
		t.Fatal(err)
	}
	q.Header.Set("X-Correlation-Id", fmt.Sprintf("%016x", number))
	q.Header.Set("X-Account", "primorje")
	q.Header.Set("X-Time-Left", "1200m")
	if class == "pickup" {
		q.Header.Set("Idempotency-Key", "k")
	}
	resp, err := http.DefaultClient.Do(q)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	if resp.StatusCode >= 400 && resp.StatusCode < 500 {
		t.Errorf("%s: %d %s", class, resp.StatusCode, body)
	}
}

// Both protocols through real daemons, while nodes fail, drain and return cold and
// a proxy is restarted: no request is lost or duplicated.
func TestBothProtocols(t *testing.T) {
	daemon := buildDaemon(t)
	text, err := scenarios.Files.ReadFile("scales.toml")
	if err != nil {
		t.Fatal(err)
	}
	// The same scenario in ten seconds, at a rate that any machine can handle.
	short := string(text)
	for old, with := range map[string]string{
		`length = "30s"`: `length = "10s"`, "rate = 180": "rate = 50", `at = "6s"`: `at = "2s"`, `at = "9s"`: `at = "3s"`,
		`at = "14s"`: `at = "4s"`, `at = "18s"`: `at = "5s"`, `at = "24s"`: `at = "8s"`, `for = "6s"`: `for = "2s"`, `for = "4s"`: `for = "1500ms"`,
	} {
		if !strings.Contains(short, old) {
			t.Fatalf("scales.toml has no %s", old)
		}
		short = strings.ReplaceAll(short, old, with)
	}
	code, out, errs := runCommand(t, "run", writeScenario(t, short), "--marlreel", daemon, "--json")
	var rep rehearsal.Report
	if err := json.Unmarshal([]byte(out), &rep); err != nil {
		t.Fatalf("exit %d, %v: %s", code, err, errs)
	}
	if rep.Void != "" {
		t.Skipf("the run is void: %s", rep.Void)
	}
	if code != exitKept || rep.Rules.Lost != 0 || rep.Rules.Duplicated != 0 {
		t.Errorf("exit %d: %+v %v %v", code, rep.Rules, rep.Breaks, rep.Crashed)
	}
	for _, class := range []string{"bid", "pickup", "weigh-in", "weigh-note", "weigh-list"} {
		if c := rep.Classes[class]; c.Requests == 0 || c.Served == 0 {
			t.Errorf("%s: %+v", class, c)
		}
	}
}
