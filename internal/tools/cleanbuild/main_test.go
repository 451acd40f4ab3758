package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"testing"
)

const packageList = "installed\tgcc\t, cpp (= 4:12), gcc-12 (>= 12.2)\tc-compiler\n" +
	"installed\tgcc-12\t, libc6 (>= 2.36), binutils | gold\t\n" +
	"installed\tcpp\tdpkg (>= 1), \t\n" +
	"installed\tlibc6\t, libgcc-s1:any\t\n" +
	"installed\tlibgcc-s1\t, libc6\tlibgcc1 (= 1:12)\n" +
	"installed\tbinutils\t, \t\n" +
	"installed\tneeds-compiler\t, c-compiler\t\n" +
	"installed\tgit\t, libc6\t\n" +
	"deinstalled\tgold\t, git\t\n"

func TestClosure(t *testing.T) {
	all := parseInstalled(packageList)
	for _, c := range []struct{ listed, want []string }{
		{nil, []string{}},
		{[]string{"libc6"}, []string{"libc6", "libgcc-s1"}},
		{[]string{"gcc"}, []string{"binutils", "cpp", "gcc", "gcc-12", "libc6", "libgcc-s1"}},
		{[]string{"needs-compiler"}, []string{"binutils", "cpp", "gcc", "gcc-12", "libc6", "libgcc-s1", "needs-compiler"}},
	} {
		if got, err := all.closure(c.listed); err != nil || !slices.Equal(got, c.want) {
			t.Errorf("%q: %q (%v), want %q", c.listed, got, err, c.want)
		}
	}
	for _, listed := range []string{"gold", "clang"} {
		if _, err := all.closure([]string{listed}); err == nil {
			t.Errorf("%s is not installed but closure accepted it", listed)
		}
	}
}

// A build command finds the shell and the Go tool chain, but no program outside the listed packages, however common.
func TestBuildSeesListedProgramsAlone(t *testing.T) {
	if _, err := exec.LookPath("dpkg-query"); err != nil {
		t.Skip("this machine has no dpkg-query")
	}
	folder, err := os.MkdirTemp(publicTempDir(), "cleanbuild") // the commands may run as another user
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(folder) })
	if err := os.Chmod(folder, publicFolder); err != nil {
		t.Fatal(err)
	}
	m, err := makeMachine(t.Context(), folder, installed{}, nil)
	if err != nil {
		t.Fatal(err)
	}
	for line, works := range map[string]bool{
		"sh -c 'exit 0'": true, "go version": true,
		"mkdir x": false, "git --version": false, "gcc --version": false, "sed p": false,
	} {
		text, err := m.command(t.Context(), line, folder, folder).CombinedOutput()
		if (err == nil) != works {
			t.Errorf("%s: %v: %s", line, err, text)
		}
	}
	t.Setenv("MARLREEL_TEST_VARIABLE", "1")
	if text, err := m.command(t.Context(), "test -z \"$MARLREEL_TEST_VARIABLE$GOFLAGS\"", folder, folder).CombinedOutput(); err != nil {
		t.Errorf("the command sees variables of this process: %v: %s", err, text)
	}
}

func TestDigests(t *testing.T) {
	build := func(text string) digests {
		source := t.TempDir()
		for _, folder := range outputFolders {
			if err := os.MkdirAll(filepath.Join(source, folder), publicFolder); err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(filepath.Join(source, folder, "program"), []byte(text), publicFolder); err != nil {
				t.Fatal(err)
			}
		}
		d := digests{}
		if err := d.add(source); err != nil {
			t.Fatal(err)
		}
		return d
	}
	if err := build("a").compare(build("a")); err != nil {
		t.Error(err)
	}
	if build("a").compare(build("b")) == nil || build("a").compare(digests{}) == nil {
		t.Error("different programs compare as equal")
	}
	if (digests{}).add(t.TempDir()) == nil {
		t.Error("a build without output is accepted")
	}
}
