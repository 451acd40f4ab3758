package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"marlreel/internal/balancer/staleness"
	"marlreel/internal/process/learnedstate"
	"marlreel/internal/process/learnedstate/codec"
	"marlreel/internal/process/learnedstate/statefile"
)

func TestState(t *testing.T) {
	t.Parallel()
	state, err := codec.Encode(&learnedstate.State{
		ProxyName: "n0",
		Backends: []learnedstate.Backend{
			{Name: "s-1", Address: "127.0.0.1:80", Healthy: true, ConcurrencyLimit: 7, LastOK: time.Second, SinceStart: learnedstate.Never},
			{Name: "s-2", Address: "127.0.0.1:81", EjectedFor: 3 * time.Second, LastOK: learnedstate.Never, SinceStart: 2 * time.Second},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	data, err := statefile.Encode(staleness.Timestamp{Wall: time.Now().Add(-time.Minute)}, true, state)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	path, bad := filepath.Join(dir, "good"), filepath.Join(dir, "bad")
	for name, content := range map[string][]byte{path: data, bad: data[:len(data)-2]} {
		if err := os.WriteFile(name, content, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	for _, c := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{"check", path}, 0, "is valid: proxy n0, 2 backends"},
		{[]string{"check", bad}, 1, "bytes where it says"},
		{[]string{"check", filepath.Join(dir, "none")}, 1, "no such file"},
		{[]string{"show", path}, 0, "1m0s old, written at shutdown"},
		{[]string{"show", path}, 0, "(ejected for another 3s) (started 2s before the save)"},
		{[]string{"show", path, "--json"}, 0, `"Name": "s-2"`},
		{[]string{"show", "--json", path}, 0, `"Name": "s-2"`},
		{[]string{"show"}, 2, "expected one file, got 0"},
		{[]string{"show", path, bad}, 2, "expected one file, got 2"},
		{[]string{"tell", path}, 2, "expected show or check"},
		{[]string{"-h"}, 0, "marlreel state show FILE"},
	} {
		var out, errs bytes.Buffer
		if code := run(append([]string{"state"}, c.args...), &out, &errs); code != c.code || !strings.Contains(out.String()+errs.String(), c.want) || code != 0 && strings.Count(errs.String(), "\n") != 1 {
			t.Errorf("%v: %d\n%s%s", c.args, code, out.String(), errs.String())
		}
	}
	var out bytes.Buffer
	run([]string{"state", "show", path, "--json"}, &out, &out)
	var r statefile.Record
	if err := json.Unmarshal(out.Bytes(), &r); err != nil || r.State.ProxyName != "n0" {
		t.Errorf("%v", err)
	}
}
