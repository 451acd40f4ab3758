package main

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"

	"github.com/rotisserie/eris"
)

const (
	shell         = "/bin/sh"
	compiler      = "gcc" // Go's default C compiler, used when CC is not set
	certificates  = "ca-certificates"
	ordinaryUser  = 65534 // nobody, and nogroup
	publicFolder  = 0o755
	writableByAll = 0o777
)

// machine simulates a machine that has only the Go tool chain, a shell and some packages: folders of links to the files
// that these packages installed.
type machine struct {
	toolChain       string // the folder of the go command, which every machine has in its PATH
	programs        string // the other folder in PATH
	systemRoot      string // where the compiler finds headers and libraries
	hasCertificates bool
}

// makeMachine creates the machine's folders below the given empty folder.
func makeMachine(ctx context.Context, folder string, all installed, packages []string) (*machine, error) {
	needed, err := all.closure(packages)
	if err != nil {
		return nil, err
	}
	files, err := filesOf(ctx, needed)
	if err != nil {
		return nil, err
	}
	goRoot, err := exec.CommandContext(ctx, "go", "env", "GOROOT").Output()
	if err != nil {
		return nil, eris.Wrap(err, "asking go env for GOROOT")
	}
	m := &machine{
		toolChain: filepath.Join(strings.TrimSpace(string(goRoot)), "bin"),
		programs:  filepath.Join(folder, "programs"), systemRoot: filepath.Join(folder, "root"),
		hasCertificates: slices.Contains(needed, certificates),
	}
	if err := m.makeFolders(); err != nil {
		return nil, err
	}
	for _, path := range files {
		if err := m.add(path); err != nil {
			return nil, err
		}
	}
	return m, link(shell, filepath.Join(m.programs, "sh"))
}

// makeFolders creates the merged-/usr layout of the host: /lib and /lib64 link into /usr.
func (m *machine) makeFolders() error {
	for _, folder := range []string{m.programs, filepath.Join(m.systemRoot, "usr/lib"), filepath.Join(m.systemRoot, "usr/lib64")} {
		if err := os.MkdirAll(folder, publicFolder); err != nil {
			return eris.Wrap(err, "creating a folder of the machine")
		}
	}
	return errors.Join(link("usr/lib", filepath.Join(m.systemRoot, "lib")), link("usr/lib64", filepath.Join(m.systemRoot, "lib64")))
}

// add links a package's file into the machine if it is a program, a header or a library.
func (m *machine) add(path string) error {
	info, err := os.Stat(path)
	if err != nil || info.IsDir() {
		return nil // a listed file that was not installed, such as an excluded manual page
	}
	switch folder := filepath.Dir(path); {
	case folder == "/bin" || folder == "/sbin" || folder == "/usr/bin" || folder == "/usr/sbin":
		return m.addProgram(path)
	case strings.HasPrefix(path, "/usr/include/"), strings.HasPrefix(path, "/lib"), strings.HasPrefix(path, "/usr/lib"):
		at := filepath.Join(m.systemRoot, path)
		if err := os.MkdirAll(filepath.Dir(at), publicFolder); err != nil {
			return eris.Wrap(err, "creating a folder of the machine")
		}
		return link(path, at)
	}
	return nil
}

// addProgram puts a program into PATH. The compiler gets a wrapper that makes it search below the system root only.
func (m *machine) addProgram(path string) error {
	at := filepath.Join(m.programs, filepath.Base(path))
	if filepath.Base(path) != compiler {
		return link(path, at)
	}
	script := fmt.Sprintf("#!%s\nexec %s --sysroot=%s \"$@\"\n", shell, path, m.systemRoot)
	return eris.Wrap(os.WriteFile(at, []byte(script), publicFolder), "writing the compiler wrapper")
}

// link creates a symbolic link; a file that already exists there is kept.
func link(to, at string) error {
	if err := os.Symlink(to, at); err != nil && !errors.Is(err, fs.ErrExist) {
		return eris.Wrap(err, "creating a symbolic link")
	}
	return nil
}

// command returns a command that runs a shell line on this machine, with the given working folder and home.
func (m *machine) command(ctx context.Context, line, folder, home string) *exec.Cmd {
	cmd := exec.CommandContext(ctx, shell, "-c", line)
	cmd.Dir = folder
	cmd.Env = []string{
		"HOME=" + home, "USER=nobody", "LOGNAME=nobody", "SHELL=" + shell, "LANG=C.UTF-8",
		"PATH=" + m.toolChain + ":" + m.programs,
	}
	if !m.hasCertificates {
		cmd.Env = append(cmd.Env, "SSL_CERT_FILE=/dev/null", "SSL_CERT_DIR=/dev/null")
	}
	if os.Geteuid() == 0 {
		cmd.SysProcAttr = &syscall.SysProcAttr{Credential: &syscall.Credential{Uid: ordinaryUser, Gid: ordinaryUser}}
	}
	return cmd
}

// publicTempDir returns a folder for temporary files that other users can reach: os.TempDir, or /tmp if that is private.
func publicTempDir() string {
	const searchableByAll, fallback = 0o001, "/tmp"
	for at := os.TempDir(); ; at = filepath.Dir(at) {
		info, err := os.Stat(at)
		if err != nil || info.Mode()&searchableByAll == 0 {
			return fallback
		}
		if at == filepath.Dir(at) {
			return os.TempDir()
		}
	}
}

// makeHome creates a home folder for the user that the commands run as.
func makeHome(path string) error {
	if err := os.MkdirAll(path, publicFolder); err != nil {
		return eris.Wrap(err, "creating a home folder")
	}
	if os.Geteuid() != 0 {
		return nil
	}
	return eris.Wrap(os.Chown(path, ordinaryUser, ordinaryUser), "changing the owner of the home folder")
}
