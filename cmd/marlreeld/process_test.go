package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"

	"github.com/pelletier/go-toml/v2"

	"marlreel/internal/agent"
	"marlreel/internal/controlplane"
	"marlreel/internal/dataplane/gateway"
	"marlreel/internal/process/bootstrap"
	"marlreel/internal/process/host"
)

// These tests run the roles as separate processes on real sockets, clocks and folders. Each process is this test binary,
// started again with a role. That puts partitionableNetwork between a process and its sockets, so that the tests can
// make partitions between two machines, in either direction.

// roleVariable is the environment variable with the role that this binary runs instead of the tests.
const roleVariable = "MARLREELD_TEST_ROLE"

func TestMain(m *testing.M) {
	if role := os.Getenv(roleVariable); role != "" {
		os.Exit(runRoleProcess(role))
	}
	os.Exit(m.Run())
}

// runRoleProcess runs a role until SIGTERM. Lines on standard input begin and end partitions.
func runRoleProcess(role string) int {
	roles := map[string]runRole{"proxy": gateway.Run, "agent": agent.Run, "control": controlplane.Run}
	err := startRole(context.Background(), newLogger(os.Stderr, false), func(ctx context.Context, machine *host.Host) error {
		network := &partitionableNetwork{ip: machine.Settings.IP, partitioned: map[string]bool{}, changed: make(chan struct{})}
		machine.Network = network
		go network.serveCommands(os.Stdin, os.Stdout)
		return roles[role](ctx, machine)
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

// process is a process that runs a role.
type process struct {
	t        *testing.T
	role     string
	settings *bootstrap.Settings
	folder   string
	command  *exec.Cmd // nil if it is not running
	commands io.WriteCloser
	answers  *bufio.Reader
	output   *lockedBuffer
	program  func() string // returns the binary for the next start: this one, or another version
}

// lockedBuffer collects the output of a process.
type lockedBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(p)
}

// String returns all that was written.
func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.String()
}

// writeSettings writes the settings file, and returns its path.
func (p *process) writeSettings() string {
	p.t.Helper()
	data, err := toml.Marshal(p.settings)
	if err != nil {
		p.t.Fatal(err)
	}
	path := filepath.Join(p.folder, p.settings.NodeName+"-"+p.role+".toml")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		p.t.Fatal(err)
	}
	return path
}

func (p *process) start() {
	p.t.Helper()
	if err := p.startWith(p.writeSettings()); err != nil {
		p.t.Fatal(err)
	}
	p.settings.FirstStart = false
}

// startWith starts the process with a settings file.
func (p *process) startWith(path string) error {
	p.command = exec.Command(p.program())
	p.command.Env = append(os.Environ(), bootstrap.SettingsVariable+"="+path, roleVariable+"="+p.role, "GOMAXPROCS=2")
	p.command.Stderr = p.output
	in, err := p.command.StdinPipe()
	if err != nil {
		return err
	}
	out, err := p.command.StdoutPipe()
	if err != nil {
		return err
	}
	p.commands, p.answers = in, bufio.NewReader(out)
	return p.command.Start()
}

// awaitRunning waits until the process runs its role, and so handles signals.
func (p *process) awaitRunning() error {
	fmt.Fprintln(p.commands, "heal", p.settings.IP) // no partition is from a machine to itself
	line, err := p.answers.ReadString('\n')
	if err == nil && line != "done\n" {
		err = fmt.Errorf("unexpected answer %q", line)
	}
	return err
}

// signal sends the process a signal.
func (p *process) signal(signal syscall.Signal) {
	p.t.Helper()
	if err := p.command.Process.Signal(signal); err != nil {
		p.t.Fatalf("%s: %v", p.settings.NodeName, err)
	}
}

// kill ends the process at once, as kill -9 does.
func (p *process) kill() {
	if p.command == nil {
		return
	}
	_ = p.command.Process.Kill() // fails only if the process has already ended
	_ = p.command.Wait()
	p.command = nil
}

// setPartitioned begins or ends a partition from this process to a machine, and waits until that has taken effect.
func (p *process) setPartitioned(ip string, partitioned bool) {
	p.t.Helper()
	verb := "heal"
	if partitioned {
		verb = "cut"
	}
	fmt.Fprintln(p.commands, verb, ip)
	if line, err := p.answers.ReadString('\n'); err != nil || line != "done\n" {
		p.t.Fatalf("%s: %q %v", p.settings.NodeName, line, err)
	}
}
