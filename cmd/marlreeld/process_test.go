package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"

	"marlreel/internal/agent"
	"marlreel/internal/controlplane"
	"marlreel/internal/dataplane/gateway"
	"marlreel/internal/process/bootstrap"
	"marlreel/internal/process/host"
)

// Whole programs run as processes of their own, on real sockets, clocks and folders. They are this test's program,
// started again with a role: so cuts between two machines can be made, in either direction, by what stands between
// a process and its sockets.

// roleVariable names the role that this program plays in place of running tests.
const roleVariable = "MARLREELD_TEST_ROLE"

func TestMain(m *testing.M) {
	if role := os.Getenv(roleVariable); role != "" {
		os.Exit(playRole(role))
	}
	os.Exit(m.Run())
}

// playRole is a process of the system until SIGTERM. Lines on its standard input make and end cuts.
func playRole(role string) int {
	settings, err := bootstrap.Load()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	machine := host.New(settings, newLogger(os.Stderr, false).WithValues("node", settings.NodeName))
	network := &cuttable{ip: settings.IP, cut: map[string]bool{}, changed: make(chan struct{})}
	machine.Network = network
	go network.obey(os.Stdin, os.Stdout)
	if err := map[string]run{"proxy": gateway.Run, "agent": agent.Run, "control": controlplane.Run}[role](ctx, machine); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

// cuttable is a network on which nothing passes from this machine to those that are cut off.
type cuttable struct {
	host.OSNetwork
	ip      string
	mu      sync.Mutex
	cut     map[string]bool // by IP
	changed chan struct{}   // closed when a cut begins or ends
}

// obey reads orders, "cut IP" and "heal IP", and answers each with a line.
func (n *cuttable) obey(in io.Reader, out io.Writer) {
	for lines := bufio.NewScanner(in); lines.Scan(); {
		verb, ip, _ := strings.Cut(lines.Text(), " ")
		n.mu.Lock()
		n.cut[ip] = verb == "cut"
		close(n.changed)
		n.changed = make(chan struct{})
		n.mu.Unlock()
		fmt.Fprintln(out, "done")
	}
}

// passes tells whether a machine can be reached, and what is closed when that changes.
func (n *cuttable) passes(ip string) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.cut[ip], n.changed
}

// Dial implements host.Network. The connection comes from this machine's address.
func (n *cuttable) Dial(ctx context.Context, address string) (net.Conn, error) {
	ip, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	for {
		open, changed := n.passes(ip)
		if open {
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(n.ip)}}
	conn, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	return n.wrap(conn, ip), nil
}

// Listen implements host.Network.
func (n *cuttable) Listen(address string) (net.Listener, error) {
	listener, err := n.OSNetwork.Listen(address)
	if err != nil {
		return nil, err
	}
	return &cutListener{listener, n}, nil
}

// ListenPacket implements host.Network.
func (n *cuttable) ListenPacket(address string) (net.PacketConn, error) {
	socket, err := n.OSNetwork.ListenPacket(address)
	if err != nil {
		return nil, err
	}
	return &cutSocket{socket, n}, nil
}

type cutListener struct {
	net.Listener
	network *cuttable
}

// Accept implements net.Listener.
func (l *cutListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.network.wrap(conn, conn.RemoteAddr().(*net.TCPAddr).IP.String()), nil
}

type cutSocket struct {
	net.PacketConn
	network *cuttable
}

// WriteTo implements net.PacketConn: what meets a cut is lost.
func (s *cutSocket) WriteTo(data []byte, to net.Addr) (int, error) {
	if open, _ := s.network.passes(to.(*net.UDPAddr).IP.String()); !open {
		return len(data), nil
	}
	return s.PacketConn.WriteTo(data, to)
}

// cutConn is a connection whose writes wait while a cut is in their way.
type cutConn struct {
	net.Conn
	network  *cuttable
	to       string
	mu       sync.Mutex
	deadline time.Time
	closed   chan struct{}
	once     sync.Once
}

func (n *cuttable) wrap(conn net.Conn, to string) net.Conn {
	return &cutConn{Conn: conn, network: n, to: to, closed: make(chan struct{})}
}

// Write implements net.Conn.
func (c *cutConn) Write(data []byte) (int, error) {
	for {
		open, changed := c.network.passes(c.to)
		if open {
			return c.Conn.Write(data)
		}
		c.mu.Lock()
		deadline := c.deadline
		c.mu.Unlock()
		var late <-chan time.Time
		if !deadline.IsZero() {
			late = time.After(time.Until(deadline))
		}
		select {
		case <-changed:
		case <-late:
			return 0, os.ErrDeadlineExceeded
		case <-c.closed:
			return 0, net.ErrClosed
		}
	}
}

// SetDeadline implements net.Conn.
func (c *cutConn) SetDeadline(at time.Time) error {
	c.note(at)
	return c.Conn.SetDeadline(at)
}

// SetWriteDeadline implements net.Conn.
func (c *cutConn) SetWriteDeadline(at time.Time) error {
	c.note(at)
	return c.Conn.SetWriteDeadline(at)
}

func (c *cutConn) note(deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = deadline
}

// Close implements net.Conn.
func (c *cutConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// SyscallConn implements syscall.Conn.
func (c *cutConn) SyscallConn() (syscall.RawConn, error) { return c.Conn.(*net.TCPConn).SyscallConn() }

// ---- processes, as the test sees them ----

// process is a process of a role.
type process struct {
	t        *testing.T
	role     string
	settings *bootstrap.Settings
	folder   string
	command  *exec.Cmd // nil: it does not run
	orders   io.WriteCloser
	answers  *bufio.Reader
	output   *lockedBuffer
}

// lockedBuffer keeps what a process writes.
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

// String is all that was written.
func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.String()
}

func (p *process) start() {
	p.t.Helper()
	data, err := toml.Marshal(p.settings)
	if err != nil {
		p.t.Fatal(err)
	}
	path := filepath.Join(p.folder, p.settings.NodeName+"-"+p.role+".toml")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		p.t.Fatal(err)
	}
	program, err := os.Executable()
	if err != nil {
		p.t.Fatal(err)
	}
	p.command = exec.Command(program)
	p.command.Env = append(os.Environ(), bootstrap.SettingsVariable+"="+path, roleVariable+"="+p.role, "GOMAXPROCS=2")
	p.command.Stderr = p.output
	in, err := p.command.StdinPipe()
	if err != nil {
		p.t.Fatal(err)
	}
	out, err := p.command.StdoutPipe()
	if err != nil {
		p.t.Fatal(err)
	}
	p.orders, p.answers = in, bufio.NewReader(out)
	if err := p.command.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.settings.FirstStart = false
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
	_ = p.command.Process.Kill() // one that has ended already is what is wanted
	_ = p.command.Wait()
	p.command = nil
}

// setCut begins or ends a cut from this process to a machine, and waits until it is made.
func (p *process) setCut(ip string, cut bool) {
	p.t.Helper()
	verb := "heal"
	if cut {
		verb = "cut"
	}
	fmt.Fprintln(p.orders, verb, ip)
	if line, err := p.answers.ReadString('\n'); err != nil || line != "done\n" {
		p.t.Fatalf("%s: %q %v", p.settings.NodeName, line, err)
	}
}
