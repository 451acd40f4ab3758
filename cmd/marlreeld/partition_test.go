package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"marlreel/internal/process/host"
)

// partitionableNetwork drops or delays all that this machine sends to the machines that it is partitioned from.
type partitionableNetwork struct {
	host.OSNetwork
	ip          string
	mu          sync.Mutex
	partitioned map[string]bool // by IP
	changed     chan struct{}   // closed when a partition begins or ends
}

// serveCommands reads commands, "cut IP" and "heal IP", and answers each with a line.
func (n *partitionableNetwork) serveCommands(in io.Reader, out io.Writer) {
	lines := bufio.NewScanner(in)
	for lines.Scan() {
		verb, ip, _ := strings.Cut(lines.Text(), " ")
		n.mu.Lock()
		n.partitioned[ip] = verb == "cut"
		close(n.changed)
		n.changed = make(chan struct{})
		n.mu.Unlock()
		fmt.Fprintln(out, "done")
	}
}

// reaches reports whether a machine can be reached, and returns a channel that is closed when a partition begins or ends.
func (n *partitionableNetwork) reaches(ip string) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.partitioned[ip], n.changed
}

// Dial implements host.Network. It waits while a partition lasts, and connects from this machine's address.
func (n *partitionableNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	ip, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	for {
		open, changed := n.reaches(ip)
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
func (n *partitionableNetwork) Listen(address string) (net.Listener, error) {
	listener, err := n.OSNetwork.Listen(address)
	if err != nil {
		return nil, err
	}
	return &partitionListener{Listener: listener, network: n}, nil
}

// ListenPacket implements host.Network.
func (n *partitionableNetwork) ListenPacket(address string) (net.PacketConn, error) {
	socket, err := n.OSNetwork.ListenPacket(address)
	if err != nil {
		return nil, err
	}
	return &partitionPacketConn{PacketConn: socket, network: n}, nil
}

type partitionListener struct {
	net.Listener
	network *partitionableNetwork
}

// Accept implements net.Listener.
func (l *partitionListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.network.wrap(conn, conn.RemoteAddr().(*net.TCPAddr).IP.String()), nil
}

type partitionPacketConn struct {
	net.PacketConn
	network *partitionableNetwork
}

// WriteTo implements net.PacketConn. It drops packets to a machine behind a partition.
func (s *partitionPacketConn) WriteTo(data []byte, to net.Addr) (int, error) {
	if open, _ := s.network.reaches(to.(*net.UDPAddr).IP.String()); !open {
		return len(data), nil
	}
	return s.PacketConn.WriteTo(data, to)
}

// partitionConn is a connection whose writes block while a partition lasts.
type partitionConn struct {
	net.Conn
	network  *partitionableNetwork
	to       string
	mu       sync.Mutex
	deadline time.Time
	closed   chan struct{}
	once     sync.Once
}

func (n *partitionableNetwork) wrap(conn net.Conn, to string) net.Conn {
	return &partitionConn{Conn: conn, network: n, to: to, closed: make(chan struct{})}
}

// Write implements net.Conn.
func (c *partitionConn) Write(data []byte) (int, error) {
	for {
		open, changed := c.network.reaches(c.to)
		if open {
			return c.Conn.Write(data)
		}
		c.mu.Lock()
		deadline := c.deadline
		c.mu.Unlock()
		var expired <-chan time.Time
		if !deadline.IsZero() {
			expired = time.After(time.Until(deadline))
		}
		select {
		case <-changed:
		case <-expired:
			return 0, os.ErrDeadlineExceeded
		case <-c.closed:
			return 0, net.ErrClosed
		}
	}
}

// SetDeadline implements net.Conn.
func (c *partitionConn) SetDeadline(at time.Time) error {
	c.setDeadline(at)
	return c.Conn.SetDeadline(at)
}

// SetWriteDeadline implements net.Conn.
func (c *partitionConn) SetWriteDeadline(at time.Time) error {
	c.setDeadline(at)
	return c.Conn.SetWriteDeadline(at)
}

func (c *partitionConn) setDeadline(deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = deadline
}

// Close implements net.Conn.
func (c *partitionConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// SyscallConn implements syscall.Conn.
func (c *partitionConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(*net.TCPConn).SyscallConn()
}
