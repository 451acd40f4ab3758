// Package standin provides test servers for everything marlreel talks to: auction
// nodes, the discovery service, registries and the front that distributes clients'
// connections, as well as proxies with deliberate faults. They are real servers on
// loopback, controlled from Go, for the tests of all packages and for the
// rehearsal kit.
//
// The package shares no code with the proxy, so that the proxy is not checked
// against itself. The daemon never links it.
//
// Times are offsets from the start of a Clock, which all stand-ins of one run share.
// The stand-ins record what they see in a Journal, which an auditor reads after the run.
package standin

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Clock measures the time of a run.
type Clock struct{ start time.Time }

// NewClock starts a clock at 0.
func NewClock() *Clock { return &Clock{time.Now()} }

// Now returns the time since the start.
func (c *Clock) Now() time.Duration { return time.Since(c.start) }

// Wall converts a time of the run to wall-clock time.
func (c *Clock) Wall(at time.Duration) time.Time { return c.start.Add(at) }

// ports allocates addresses that stay reserved after their listeners close, as a node
// restarts at its old address. The ports lie below the kernel's ephemeral range, so that
// no outgoing connection takes one in the meantime.
var ports portRange

type portRange struct {
	sync.Mutex
	tried  bool
	kept   net.Listener // reserves the block; nil if this process has none
	prefix string       // of the block's addresses
	given  int

	next, low, high int
}

// Address returns a free loopback address outside the ephemeral port range.
func Address() (string, error) {
	addr, _, err := AddressPair(0)
	return addr, err
}

// AddressPair returns two free addresses whose ports differ by offset; with offset 0 they are the same.
//
// They lie in a block of loopback addresses that this process reserves with a listener on the block's first address.
// Probing for a free port on 127.0.0.1 is racy: another process may take the port before the caller listens. Two
// concurrent runs both failed at startup that way.
func AddressPair(offset int) (first, second string, err error) {
	ports.Lock()
	defer ports.Unlock()
	if !ports.tried {
		ports.tried = true
		ports.keep()
	}
	if ports.kept == nil {
		return ports.search(offset)
	}
	// The next port is used only after all addresses of the block have been used; ports step by two.
	host := 2 + ports.given%blockHosts
	port := blockPort + 2*(ports.given/blockHosts)
	if port+offset >= 1<<16 {
		return "", "", fmt.Errorf("loopback address block %s0 is exhausted", ports.prefix)
	}
	ports.given++
	at := func(port int) string { return net.JoinHostPort(ports.prefix+strconv.Itoa(host), strconv.Itoa(port)) }
	return at(port), at(port + offset), nil
}

const (
	blockHosts = 250
	blockPort  = 15000
)

// keep reserves a block for this process, on systems where all of 127.0.0.0/8 is loopback.
func (p *portRange) keep() {
	for n := range 256 {
		at := os.Getpid()*31 + n*97
		prefix := fmt.Sprintf("127.%d.%d.", 64+at/256%64, at%256)
		l, err := net.Listen("tcp4", prefix+"1:"+strconv.Itoa(blockPort-1))
		if err == nil {
			p.kept, p.prefix = l, prefix // until the process exits
			return
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			return
		}
	}
}

// search finds free ports on 127.0.0.1, for systems without further loopback addresses.
func (p *portRange) search(offset int) (first, second string, err error) {
	if p.next == 0 {
		p.low, p.high = 15000, ephemeralFrom()
		// Concurrent runs start their search at different ports.
		p.next = p.low + os.Getpid()*97%(p.high-p.low)
	}
	for range p.high - p.low {
		p.next++
		if p.next >= p.high {
			p.next = p.low
		}
		first = net.JoinHostPort("127.0.0.1", strconv.Itoa(p.next))
		second = net.JoinHostPort("127.0.0.1", strconv.Itoa(p.next+offset))
		if p.next+offset < p.high && free(first) && (offset == 0 || free(second)) {
			return first, second, nil
		}
	}
	return "", "", fmt.Errorf("no free port from %d to %d", p.low, p.high)
}

func free(addr string) bool {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return false
	}
	l.Close()
	return true
}

// ephemeralFrom returns the first port of the kernel's ephemeral range.
func ephemeralFrom() int {
	const usual = 32000
	text, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	if err != nil {
		return usual
	}
	fields := strings.Fields(string(text))
	if len(fields) == 0 {
		return usual
	}
	n, err := strconv.Atoi(fields[0])
	if err != nil || n < 16000 {
		return usual
	}
	return n
}

// Raw is a TCP server that hands each connection to a function.
type Raw struct {
	Addr     string
	Accepted atomic.Int64
	ln       net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]bool
	wg       sync.WaitGroup
}

// StartRaw listens on a new loopback address. serve runs in a goroutine per connection;
// the connection is closed when it returns.
func StartRaw(serve func(c net.Conn, in *bufio.Reader)) (*Raw, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("stand-in: %w", err)
	}
	return ServeRaw(ln, serve), nil
}

// ServeRaw is StartRaw with an existing listener.
func ServeRaw(ln net.Listener, serve func(c net.Conn, in *bufio.Reader)) *Raw {
	r := &Raw{Addr: ln.Addr().String(), ln: ln, conns: map[net.Conn]bool{}}
	r.wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			r.Accepted.Add(1)
			r.mu.Lock()
			r.conns[c] = true
			r.mu.Unlock()
			r.wg.Go(func() {
				defer func() {
					c.Close()
					r.mu.Lock()
					delete(r.conns, c)
					r.mu.Unlock()
				}()
				serve(c, bufio.NewReader(c))
			})
		}
	})
	return r
}

// Stop closes the listener and all connections, without waiting for serve to return.
func (r *Raw) Stop() {
	r.ln.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.Close()
	}
}

// Close calls Stop and waits for serve to return.
func (r *Raw) Close() {
	r.Stop()
	r.wg.Wait()
}

// reset closes a connection with a TCP reset, as a killed process does.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}
