package main

import (
	"debug/elf"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

// The deployed binary must be linked dynamically against the C library: the platform's fleet
// intercepts a proxy's sockets and clocks by a library that it loads into the process, which is not possible
// with a statically linked program.
func TestTheDeployedDaemonIsLinkedDynamically(t *testing.T) {
	t.Parallel()
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		t.Fatal(err)
	}
	var deploy struct{ Build, Run string }
	if err := toml.Unmarshal(text, &deploy); err != nil {
		t.Fatal(err)
	}
	if !strings.HasPrefix(deploy.Run, "exec ") {
		t.Errorf("run is %q: it must exec the proxy, so that there is one process", deploy.Run)
	}
	// The same build into another directory, as the binaries in bin may be in use.
	dir := t.TempDir()
	build := exec.Command("sh", "-c", strings.Replace(deploy.Build, "-o bin/ ./cmd/...", "-o "+dir+"/ ./cmd/marlreel", 1))
	build.Dir = root
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%s: %v\n%s", deploy.Build, err, out)
	}
	f, err := elf.Open(filepath.Join(dir, "marlreel"))
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	libraries, err := f.ImportedLibraries()
	if err != nil {
		t.Fatal(err)
	}
	if !slices.ContainsFunc(libraries, func(l string) bool { return strings.HasPrefix(l, "libc.so") }) {
		t.Errorf("linked against %v, which does not include the C library", libraries)
	}
	if !slices.ContainsFunc(f.Progs, func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP }) {
		t.Error("the binary names no dynamic linker")
	}
}
