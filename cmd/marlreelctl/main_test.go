package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"marlreel/internal/discovery/membership"
	"marlreel/internal/standin"
)

func call(t *testing.T, file string, args ...string) (int, string, string) {
	t.Helper()
	var out, errs bytes.Buffer
	code := run(t.Context(), append([]string{"--config", file, "--within", "5s"}, args...), &out, &errs)
	return code, out.String(), errs.String()
}

// nodeSteps are commands that run one after the other, with their exit codes and output.
var nodeSteps = []struct {
	args      []string
	code      int
	out, errs string
}{
	{[]string{"nodes", "put", "s-1", "127.0.0.1:80", "--zone", "koper"}, 0, "s-1: ready at 127.0.0.1:80", ""},
	{[]string{"nodes", "put", "s-2", "nowhere", "--zone", "koper"}, 1, "", `address = "nowhere": ip:port is needed`},
	{[]string{"nodes", "put", "_confirm", "127.0.0.1:80", "--zone", "koper"}, 1, "", "no node's name"},
	{[]string{"nodes", "remove", "s-1"}, 1, "", "s-1 does not drain: drain it first, or --now"},
	{[]string{"nodes", "drain", "s-1"}, 0, "s-1: draining at 127.0.0.1:80", ""},
	{[]string{"nodes", "list"}, 0, "draining", ""},
	{[]string{"nodes", "remove", "s-1"}, 0, "s-1: removed", ""},
	{[]string{"nodes", "drain", "s-1"}, 1, "", "s-1 is not in the list"},
	{[]string{"nodes", "remove", "s-1"}, 1, "", "s-1 is not in the list"},
	{[]string{"nodes", "confirm"}, 0, "confirmed", ""},
	{[]string{"nodes", "push", "s-1"}, 2, "", "marlreelctl -h says more"},
}

func TestNodes(t *testing.T) {
	t.Parallel()
	for _, kind := range []string{"etcd", "consul"} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			r, err := standin.StartRegistry()
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(r.Close)
			file := filepath.Join(t.TempDir(), "own.toml")
			// The first endpoint is down.
			text := fmt.Sprintf("[registry]\nkind = %q\nendpoints = [\"http://127.0.0.1:1\", %q]\n", kind, r.URL())
			if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			for _, step := range nodeSteps {
				code, out, errs := call(t, file, step.args...)
				if code != step.code || !strings.Contains(out, step.out) || !strings.Contains(errs, step.errs) || code != 0 && strings.Count(errs, "\n") != 1 {
					t.Errorf("%v: %d\n%s%s", step.args, code, out, errs)
				}
			}
			r.Quorum(false)
			if code, out, _ := call(t, file, "nodes", "list"); code != 0 || !strings.Contains(out, "no quorum") {
				t.Errorf("without a quorum: %d %s", code, out)
			}
			if code, _, errs := call(t, file, "nodes", "drain", "s-1"); code != 1 || !strings.Contains(errs, "no quorum") {
				t.Errorf("a write without a quorum: %d %s", code, errs)
			}
		})
	}
	off := filepath.Join(t.TempDir(), "off.toml")
	if err := os.WriteFile(off, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if code, _, errs := call(t, off, "nodes", "list"); code != 2 || !strings.Contains(errs, "registry.kind is not set") {
		t.Errorf("%d %s", code, errs)
	}
}

// The status of a proxy's lists is printed in words; a proxy without a registry is reported as an error.
func TestDiscovery(t *testing.T) {
	t.Parallel()
	status := membership.Status{
		Source: "registry", Revision: 42, Age: 1500 * time.Millisecond, Entries: 7, Retained: []string{"s-1", "s-2"}, Damped: []string{"s-9"},
		Sources: []membership.SourceStatus{{Name: "registry", Revision: 42, Unreachable: true, LossReason: "connection refused", Malformed: map[string]string{"s-3": "v = 2"}}, {Name: "platform", Revision: 5, Synced: true}},
	}
	hasRegistry := true
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !hasRegistry || r.URL.Path != "/control/discovery" {
			http.Error(w, "no registry is set", http.StatusNotFound)
			return
		}
		if err := json.NewEncoder(w).Encode(status); err != nil {
			t.Error(err)
		}
	}))
	t.Cleanup(s.Close)
	addr := strings.TrimPrefix(s.URL, "http://")
	var out, errs bytes.Buffer
	if code := run(t.Context(), []string{"discovery", "--control", addr}, &out, &errs); code != 0 {
		t.Errorf("%d %s", code, errs.String())
	}
	for _, want := range []string{"registry, revision 42: 7 entries; up to date as of 1.5s ago", "lost: connection refused", "s-3 can't be read: v = 2", "platform", "held", "s-1, s-2", "s-9"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("no %q in\n%s", want, out.String())
		}
	}
	hasRegistry = false
	out.Reset()
	if code := run(t.Context(), []string{"discovery", "--control", addr}, &out, &errs); code != 1 || !strings.Contains(errs.String(), "no registry is set") {
		t.Errorf("%d %s", code, errs.String())
	}
	errs.Reset()
	if code := run(t.Context(), []string{"nodes", "list"}, &out, &errs); code != 2 || !strings.Contains(errs.String(), "--config is missing") {
		t.Errorf("%d %s", code, errs.String())
	}
}
