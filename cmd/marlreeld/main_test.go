package main

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"marlreel/internal/actionable"
	"marlreel/internal/process/bootstrap"
)

// The project implements consensus, membership, discovery and proxying itself, so the program must link no library for
// them. It must not link packages that only tests and trials use either.
func TestLinksNoConsensusLibraryAndNoFakes(t *testing.T) {
	is := is.New(t)
	out, err := exec.Command("go", "list", "-deps", ".").Output()
	is.NoErr(err)
	for _, forbidden := range []string{
		"raft", "memberlist", "etcd", "serf", "consul", "simnet", "simcluster", "net/http/httputil",
		"marlreel/internal/fleet", "marlreel/internal/testing",
	} {
		for line := range strings.Lines(string(out)) {
			if strings.Contains(strings.TrimSpace(line), forbidden) {
				t.Errorf("the program links %s", strings.TrimSpace(line))
			}
		}
	}
}

func TestInvalidSettingsAreOneLine(t *testing.T) {
	is := is.New(t)
	for text, named := range map[string]string{
		"":                              "node_name",
		"node_name = 3":                 "TOML",
		"node_name = \"a\"\nip = \"x\"": "ip",
	} {
		path := filepath.Join(t.TempDir(), "boot.toml")
		is.NoErr(os.WriteFile(path, []byte(text), 0o600))
		t.Setenv(bootstrap.SettingsVariable, path)
		command := newCommand(&bytes.Buffer{})
		command.SetArgs([]string{"agent"})
		err := command.Execute()
		is.True(err != nil)
		line := actionable.Message(err)
		is.True(strings.Contains(line, named))                      // what is wrong
		is.True(strings.Contains(line, bootstrap.SettingsVariable)) // what to do
		is.True(!strings.Contains(line, "\n"))
	}
}

func TestHelpNamesTheRoles(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	command := newCommand(&bytes.Buffer{})
	command.SetOut(&out)
	command.SetArgs([]string{"--help"})
	is.NoErr(command.Execute())
	for _, role := range []string{"proxy", "agent", "control"} {
		is.True(strings.Contains(out.String(), role))
	}
}
