package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/alecthomas/kong"

	"marlreel/internal/testing/recorded"
)

// The commands and flags match the recorded ones.
func TestCompatibilityCommandLine(t *testing.T) {
	var c cli
	parser, err := kong.New(&c, kong.Name("marlreelctl"))
	if err != nil {
		t.Fatal(err)
	}
	var got strings.Builder
	commandLine(&got, parser.Model.Node, "marlreelctl")
	recorded.Check(t, "command-line.txt", got.String())
}

// fleetAnswers are a proxy's answers at its operators' socket, by path; "" is for all other paths.
var fleetAnswers = map[string]string{
	"/fleet":         `{"fleet":"pier","leader":"n1","members":[{"name":"n1","state":"alive"}],"view":{"open":1,"versions":[{"number":1,"hash":"h","by":"n0","text":"{\"Tick\":5}"}],"keepers":[{"name":"n1","id":12}]}}`,
	"/fleet/holders": `[{"name":"n1","held":41,"left_ns":1000000000,"lists":{"source":"etcd","revision":17}}]`,
	"/fleet/lists":   `{"proxies":[{"proxy":"n1","source":"etcd","revision":17,"ready":3}],"silent":["n2"],"partly":[{"name":"a1","seen_by":["n0"],"not":["n1"]}]}`,
	"/fleet/check":   `{"good":true}`,
	"/fleet/floor":   `{"asked":true}`,
	"":               `{"id":"x","version":2,"by":"n0"}`,
}

// recordingFleet serves an operators' socket and records the requests.
type recordingFleet struct {
	mu  sync.Mutex
	got strings.Builder
}

func (f *recordingFleet) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.note("%s %s %s\n", r.Method, strings.ReplaceAll(r.RequestURI, "by="+url.QueryEscape(currentUser()), "by=WHO"), body)
	answer, exists := fleetAnswers[r.URL.Path]
	if !exists {
		answer = fleetAnswers[""]
	}
	writeAnswer(w, answer)
}

func (f *recordingFleet) note(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fmt.Fprintf(&f.got, format, args...)
}

// writeAnswer ignores errors: they only mean that the client has closed the connection.
func writeAnswer(w io.Writer, answer string) { _, _ = io.WriteString(w, answer) }

// serve listens on a socket until the test ends, and returns its path.
func (f *recordingFleet) serve(t *testing.T, dir string) string {
	t.Helper()
	socket := filepath.Join(dir, "fleet.sock")
	listener, err := net.Listen("unix", socket)
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: f}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	t.Cleanup(func() {
		if err := server.Close(); err != nil {
			t.Error(err)
		}
		if err := <-served; !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
	})
	return socket
}

// The fleet commands send the recorded requests to the operators' socket: methods, paths, parameters and bodies.
func TestCompatibilityFleetCalls(t *testing.T) {
	dir, err := os.MkdirTemp("", "ctl") // not t.TempDir: the path of a socket has a small maximum length
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	file := filepath.Join(dir, "platform.json")
	if err := os.WriteFile(file, []byte(`{"name":"n0","settings":{"Tick":6,"Rank":1,"Zone":2}}`), 0o600); err != nil {
		t.Fatal(err)
	}
	var proxy recordingFleet
	socket := proxy.serve(t, dir)
	for _, args := range [][]string{
		{"--json", "members"},
		{"--json", "versions"},
		{"propose", file, "--why", "quicker", "--on", "1"},
		{"--json", "propose", file},
		{"propose", "--dry-run", file},
		{"diff", "1", file},
		{"rollback", "1"},
		{"keepers", "add", "n3"},
		{"keepers", "remove", "n3"},
		{"--json", "lists"},
		{"floor", "reset", "etcd"},
	} {
		var out, errs bytes.Buffer
		proxy.note("--- marlreelctl fleet %s\n", strings.ReplaceAll(strings.Join(args, " "), file, "FILE"))
		code := run(t.Context(), append([]string{"fleet", "--socket", socket}, args...), &out, &errs)
		if code != 0 {
			t.Errorf("%q: exit %d: %s", args, code, errs.String())
		}
		if args[0] == "--json" {
			proxy.note("%s", out.String())
		}
	}
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	recorded.Check(t, "fleet-calls.txt", proxy.got.String())
}

// The discovery command calls the recorded path of the proxy's control address, and --json prints the answer unchanged.
func TestCompatibilityDiscoveryCall(t *testing.T) {
	const status = `{"source":"etcd","revision":17,"age_ns":1000000,"entries":3,"sources":[]}`
	requests := make(chan string, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests <- r.Method + " " + r.RequestURI
		writeAnswer(w, status)
	}))
	defer server.Close()
	var out, errs bytes.Buffer
	if code := run(t.Context(), []string{"discovery", "--control", strings.TrimPrefix(server.URL, "http://"), "--json"}, &out, &errs); code != 0 {
		t.Fatalf("exit %d: %s", code, errs.String())
	}
	if got := <-requests; got != "GET /control/discovery" {
		t.Errorf("the request is %s", got)
	}
	if out.String() != status {
		t.Errorf("printed %s", out.String())
	}
}

// commandLine writes the commands, flags and arguments of a command line: names, short forms, environment variables,
// defaults and whether they are required, but no help texts.
func commandLine(b *strings.Builder, n *kong.Node, path string) {
	fmt.Fprintf(b, "%s hidden=%v aliases=%q\n", path, n.Hidden, n.Aliases)
	for _, f := range n.Flags {
		short := ""
		if f.Short != 0 {
			short = string(f.Short)
		}
		fmt.Fprintf(b, "  --%s short=%q env=%q default=%q required=%v enum=%q bool=%v\n", f.Name, short, f.Envs, f.Default, f.Required, f.Enum, f.IsBool())
	}
	for _, p := range n.Positional {
		fmt.Fprintf(b, "  <%s> default=%q required=%v\n", p.Name, p.Default, p.Required)
	}
	for _, c := range n.Children {
		commandLine(b, c, path+" "+c.Name)
	}
}
