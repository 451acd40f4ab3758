package standin

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Mesh simulates the network between some processes: what one sends to another passes a Link, and each Link has its
// own LinkFaults.
type Mesh struct {
	targets []string
	seed    uint64
	links   map[[2]int]*Link
}

// Link forwards TCP streams and UDP datagrams from one process to another: the first sends to Addr, and the link
// relays to the second. Faults affect this direction only; the opposite direction has its own Link.
type Link struct {
	Addr     string
	from, to int
	mesh     *Mesh
	tcp      net.Listener
	udp      net.PacketConn
	mu       sync.Mutex
	state    LinkFaults
	rng      *rand.Rand
	conns    map[net.Conn]bool
	bytes    int64 // forwarded
}

// LinkFaults configures the faults of a link.
type LinkFaults struct {
	Cut    bool
	Slow   time.Duration // added latency
	Lose   float64       // share of datagrams lost
	Repeat float64       // share of datagrams duplicated
}

// NewMesh creates a link for each ordered pair of processes, which listen on the targets.
func NewMesh(targets []string, seed uint64) (*Mesh, error) {
	m := &Mesh{targets: targets, seed: seed, links: map[[2]int]*Link{}}
	for i := range targets {
		for j := range targets {
			if i == j {
				continue
			}
			l, err := newLink(m, i, j)
			if err != nil {
				m.Close()
				return nil, err
			}
			m.links[[2]int{i, j}] = l
		}
	}
	for _, l := range m.links { // started once all exist, as each looks up the link of the opposite direction
		go l.streams()
		go l.datagrams()
	}
	return m, nil
}

// Addr returns the address at which one process reaches another, or the target itself if they are the same.
func (m *Mesh) Addr(from, to int) string {
	if from == to {
		return m.targets[to]
	}
	return m.links[[2]int{from, to}].Addr
}

// Close closes all links.
func (m *Mesh) Close() {
	for _, l := range m.links {
		l.close()
	}
}

func newLink(m *Mesh, from, to int) (*Link, error) {
	addr, err := Address()
	if err != nil {
		return nil, err
	}
	l := &Link{Addr: addr, from: from, to: to, mesh: m, conns: map[net.Conn]bool{}, rng: rand.New(rand.NewPCG(m.seed, uint64(from*1000+to)))}
	if l.tcp, err = net.Listen("tcp", addr); err != nil {
		return nil, err
	}
	if l.udp, err = net.ListenPacket("udp", addr); err != nil {
		l.tcp.Close()
		return nil, err
	}
	return l, nil
}

func (l *Link) target() string { return l.mesh.targets[l.to] }

// Set changes the faults in the direction from one process to another.
func (m *Mesh) Set(from, to int, w LinkFaults) {
	l := m.links[[2]int{from, to}]
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = w
}

// SetAll changes the faults in both directions between every process of some and every process of others.
func (m *Mesh) SetAll(some, others []int, w LinkFaults) {
	for _, i := range some {
		for _, j := range others {
			if i != j {
				m.Set(i, j, w)
				m.Set(j, i, w)
			}
		}
	}
}

// Split partitions the mesh: no process of a side reaches one of another side.
func (m *Mesh) Split(sides ...[]int) {
	for a := range sides {
		for b := a + 1; b < len(sides); b++ {
			m.SetAll(sides[a], sides[b], LinkFaults{Cut: true})
		}
	}
}

// Heal removes all faults.
func (m *Mesh) Heal() {
	for _, l := range m.links {
		l.mu.Lock()
		l.state = LinkFaults{}
		l.mu.Unlock()
	}
}

func (l *Link) faults() LinkFaults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state
}

func (l *Link) datagrams() {
	out, err := net.Dial("udp", l.target())
	if err != nil {
		return
	}
	defer out.Close()
	buf := make([]byte, 1<<16)
	for {
		n, _, err := l.udp.ReadFrom(buf)
		if err != nil {
			return
		}
		l.mu.Lock()
		w, lost, again := l.state, l.rng.Float64(), l.rng.Float64()
		if !w.Cut {
			l.bytes += int64(n)
		}
		l.mu.Unlock()
		if w.Cut || lost < w.Lose {
			continue
		}
		times := 1
		if again < w.Repeat {
			times = 2
		}
		for range times {
			if w.Slow > 0 {
				p := append([]byte(nil), buf[:n]...)
				time.AfterFunc(w.Slow, func() { out.Write(p) })
				continue
			}
			out.Write(buf[:n])
		}
	}
}

func (l *Link) streams() {
	for {
		c, err := l.tcp.Accept()
		if err != nil {
			return
		}
		go l.carry(c)
	}
}

// carry relays a stream that the first process opened. Its bytes pass with this link's faults, those of the opposite
// direction with the faults of that direction's link.
func (l *Link) carry(c net.Conn) {
	defer c.Close()
	if l.faults().Cut { // as if the SYN were lost: the dialling process waits
		l.keep(c)
		io.Copy(io.Discard, c)
		l.drop(c)
		return
	}
	out, err := net.DialTimeout("tcp", l.target(), 2*time.Second)
	if err != nil {
		return
	}
	defer out.Close()
	l.keep(c)
	defer l.drop(c)
	back := l.mesh.links[[2]int{l.to, l.from}]
	done := make(chan struct{})
	go func() {
		defer close(done)
		pass(out, c, back)
		c.(*net.TCPConn).CloseWrite()
	}()
	pass(c, out, l)
	out.(*net.TCPConn).CloseWrite()
	<-done
}

// pass copies bytes with a link's faults. Bytes that arrive while the link is cut are delivered when the cut ends.
func pass(from, to net.Conn, l *Link) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		w := l.faults()
		for w.Cut {
			time.Sleep(20 * time.Millisecond)
			if w = l.faults(); l.closed() {
				return
			}
		}
		if w.Slow > 0 {
			time.Sleep(w.Slow)
		}
		if n > 0 {
			l.mu.Lock()
			l.bytes += int64(n)
			l.mu.Unlock()
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (l *Link) keep(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns == nil {
		c.Close()
		return
	}
	l.conns[c] = true
}

func (l *Link) drop(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

func (l *Link) closed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conns == nil
}

func (l *Link) close() {
	l.tcp.Close()
	l.udp.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.Close()
	}
	l.conns = nil
}

// BytesOf returns the number of bytes forwarded by all links that start at a process.
func (m *Mesh) BytesOf(process int) int64 {
	sum := int64(0)
	for key, l := range m.links {
		if key[0] == process {
			l.mu.Lock()
			sum += l.bytes
			l.mu.Unlock()
		}
	}
	return sum
}
