package main

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"path/filepath"
	"strings"
	"testing"

	"marlreel/internal/testing/recorded"
)

// The flags, and how each command line is read.
func TestCompatibilityFlags(t *testing.T) {
	for _, c := range []struct {
		args []string
		want flags
	}{
		{nil, flags{}},
		{[]string{"--config", "m.toml"}, flags{config: "m.toml"}},
		{[]string{"-config=m.toml"}, flags{config: "m.toml"}},
		{[]string{"--check", "--config", "m.toml"}, flags{config: "m.toml", check: true}},
		{[]string{"--version"}, flags{version: true}},
	} {
		if got, err := parse(c.args, new(bytes.Buffer)); err != nil || got != c.want {
			t.Errorf("%q: %+v, %v", c.args, got, err)
		}
	}
	for _, args := range [][]string{{"--check"}, {"word"}, {"--listen", "x"}, {"--config"}} {
		if _, err := parse(args, new(bytes.Buffer)); err == nil || errors.Is(err, flag.ErrHelp) {
			t.Errorf("%q is taken: %v", args, err)
		}
	}
}

// Exit codes, and whether a command writes to its output or its errors.
func TestCompatibilityExitCodes(t *testing.T) {
	t.Setenv("NODE_CONFIG", "")
	missing, shipped := filepath.Join(t.TempDir(), "none"), filepath.Join("..", "..", "deploy", "marlreel.toml")
	var got strings.Builder
	for _, args := range [][]string{
		{"-h"},
		{"--version"},
		{"--check"},
		{"word"},
		{"--config", missing},
		{"--check", "--config", missing},
		{"--check", "--config", shipped},
		{},
		{"state"},
		{"state", "-h"},
		{"state", "--help"},
		{"state", "show"},
		{"state", "show", missing},
		{"state", "show", "--json", missing},
		{"state", "show", missing, "--json"},
		{"state", "show", "--yaml", missing},
		{"state", "check", missing},
		{"state", "check", missing, missing},
		{"state", "drop"},
	} {
		var out, errs bytes.Buffer
		code := run(args, &out, &errs)
		words := strings.NewReplacer(missing, "MISSING", shipped, "SHIPPED").Replace(strings.Join(args, " "))
		fmt.Fprintf(&got, "marlreel %s: exit %d, output %v, errors %v\n", words, code, out.Len() > 0, errs.Len() > 0)
	}
	recorded.Check(t, "exit-codes.txt", got.String())
}
