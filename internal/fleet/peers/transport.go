package peers

import (
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
)

// maxStreams bounds the streams that others open to this proxy, and so the file descriptors.
const maxStreams = 24

// transport is one UDP socket and one TCP listener. It looks up the addresses of peers by their names, as the address at
// which this proxy reaches a peer may differ from the one that the peer advertises.
type transport struct {
	udp     *net.UDPConn
	tcp     net.Listener
	table   map[string]string // name to address
	packets chan *memberlist.Packet
	streams chan net.Conn
	open    atomic.Int32
	done    chan struct{}
	once    sync.Once
	wg      sync.WaitGroup
	sent    atomic.Int64 // bytes
}

func newTransport(listen string, table map[string]string) (*transport, error) {
	addr, err := net.ResolveUDPAddr("udp", listen)
	if err != nil {
		return nil, err
	}
	tcp, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	udp, err := net.ListenUDP("udp", addr)
	if err != nil {
		tcp.Close()
		return nil, err
	}
	t := &transport{udp: udp, tcp: tcp, table: table, packets: make(chan *memberlist.Packet, 64), streams: make(chan net.Conn), done: make(chan struct{})}
	t.wg.Go(t.readPackets)
	t.wg.Go(t.accept)
	return t, nil
}

func (t *transport) readPackets() {
	buf := make([]byte, 65536)
	for {
		n, from, err := t.udp.ReadFrom(buf)
		now := time.Now()
		if err != nil {
			select {
			case <-t.done:
				return
			case <-time.After(time.Millisecond): // for example an ICMP error caused by an earlier datagram
				continue
			}
		}
		if n == 0 {
			continue
		}
		select {
		case t.packets <- &memberlist.Packet{Buf: append([]byte(nil), buf[:n]...), From: from, Timestamp: now}:
		case <-t.done:
			return
		}
	}
}

func (t *transport) accept() {
	for {
		c, err := t.tcp.Accept()
		if err != nil {
			select {
			case <-t.done:
				return
			case <-time.After(5 * time.Millisecond): // probably too many open file descriptors
				continue
			}
		}
		if t.open.Add(1) > maxStreams {
			t.open.Add(-1)
			c.Close()
			continue
		}
		select {
		case t.streams <- &stream{Conn: c, of: t}:
		case <-t.done:
			c.Close()
			return
		}
	}
}

// stream decrements transport.open when it is closed.
type stream struct {
	net.Conn
	of   *transport
	once sync.Once
}

func (s *stream) Close() error {
	s.once.Do(func() { s.of.open.Add(-1) })
	return s.Conn.Close()
}

// addressOf returns the configured address of a peer, or the advertised one if there is none.
func (t *transport) addressOf(a memberlist.Address) string {
	if at, exists := t.table[a.Name]; exists {
		return at
	}
	return a.Addr
}

func (t *transport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	to, err := net.ResolveUDPAddr("udp", t.addressOf(a))
	if err != nil {
		return time.Time{}, err
	}
	t.sent.Add(int64(len(b)))
	_, err = t.udp.WriteTo(b, to)
	return time.Now(), err
}

func (t *transport) WriteTo(b []byte, addr string) (time.Time, error) {
	return t.WriteToAddress(b, memberlist.Address{Addr: addr})
}

func (t *transport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return net.DialTimeout("tcp", t.addressOf(a), timeout)
}

func (t *transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	return t.DialAddressTimeout(memberlist.Address{Addr: addr}, timeout)
}

func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.packets }
func (t *transport) StreamCh() <-chan net.Conn           { return t.streams }

func (t *transport) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	a := t.tcp.Addr().(*net.TCPAddr)
	return a.IP, a.Port, nil
}

func (t *transport) Shutdown() error {
	t.once.Do(func() {
		close(t.done)
		t.udp.Close()
		t.tcp.Close()
	})
	t.wg.Wait()
	return nil
}

// lineWriter is an io.Writer that passes the library's log to a function, line by line.
type lineWriter func(line string)

func (l lineWriter) Write(p []byte) (int, error) {
	for line := range strings.Lines(string(p)) {
		l(strings.TrimSpace(line))
	}
	return len(p), nil
}
