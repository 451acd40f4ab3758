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
	compiler      = "gcc" // the one that Go calls where nobody names another
	certificates  = "ca-certificates"
	ordinaryUser  = 65534 // nobody, and nogroup
	publicFolder  = 0o755
	writableByAll = 0o777
)

// machine stands for a machine that has the Go tool chain, a shell and some packages: folders of links to what these
// packages brought.
type machine struct {
	toolChain       string // the folder of the go command, which every machine has
	programs        string // what PATH has beside it
	systemRoot      string // where the compiler finds headers and libraries
	hasCertificates bool
}

// makeMachine makes the folders below an empty one.
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
		return nil, eris.Wrap(err, "asking for the Go tool chain's folder")
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

// makeFolders makes the layout in which /lib is a part of /usr, as it is on the machine.
func (m *machine) makeFolders() error {
	for _, folder := range []string{m.programs, filepath.Join(m.systemRoot, "usr/lib"), filepath.Join(m.systemRoot, "usr/lib64")} {
		if err := os.MkdirAll(folder, publicFolder); err != nil {
			return eris.Wrap(err, "making a folder")
		}
	}
	return errors.Join(link("usr/lib", filepath.Join(m.systemRoot, "lib")), link("usr/lib64", filepath.Join(m.systemRoot, "lib64")))
}

// add makes a package's file a part of the machine, if it is a program, a header or a library.
func (m *machine) add(path string) error {
	info, err := os.Stat(path)
	if err != nil || info.IsDir() {
		return nil // a page that was left out when the package was installed
	}
	switch folder := filepath.Dir(path); {
	case folder == "/bin" || folder == "/sbin" || folder == "/usr/bin" || folder == "/usr/sbin":
		return m.addProgram(path)
	case strings.HasPrefix(path, "/usr/include/"), strings.HasPrefix(path, "/lib"), strings.HasPrefix(path, "/usr/lib"):
		at := filepath.Join(m.systemRoot, path)
		if err := os.MkdirAll(filepath.Dir(at), publicFolder); err != nil {
			return eris.Wrap(err, "making a folder")
		}
		return link(path, at)
	}
	return nil
}

// addProgram puts a program into PATH. The compiler is told to look below the system root alone.
func (m *machine) addProgram(path string) error {
	at := filepath.Join(m.programs, filepath.Base(path))
	if filepath.Base(path) != compiler {
		return link(path, at)
	}
	script := fmt.Sprintf("#!%s\nexec %s --sysroot=%s \"$@\"\n", shell, path, m.systemRoot)
	return eris.Wrap(os.WriteFile(at, []byte(script), publicFolder), "writing the compiler's command")
}

// link makes a symbolic link; one that is there stays.
func link(to, at string) error {
	if err := os.Symlink(to, at); err != nil && !errors.Is(err, fs.ErrExist) {
		return eris.Wrap(err, "making a link")
	}
	return nil
}

// command is a line of shell on this machine, for a user with that home.
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

// publicTempDir is a folder for temporary files that another user can reach: the usual one, unless it is private.
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

// makeHome makes a home with nothing in it, for whoever the commands run as.
func makeHome(path string) error {
	if err := os.MkdirAll(path, publicFolder); err != nil {
		return eris.Wrap(err, "making a home")
	}
	if os.Geteuid() != 0 {
		return nil
	}
	return eris.Wrap(os.Chown(path, ordinaryUser, ordinaryUser), "giving a home to its user")
}
