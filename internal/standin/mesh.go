package standin

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Mesh is the ways between some processes, each with its own weather: what one sends to another goes by a Link.
type Mesh struct {
	targets []string
	seed    uint64
	links   map[[2]int]*Link
}

// Link is the way from one process to another: streams and datagrams that the first sends come to Addr and go on
// from there. What goes wrong on it hits that direction alone; the other has a Link of its own.
type Link struct {
	Addr     string
	from, to int
	mesh     *Mesh
	tcp      net.Listener
	udp      net.PacketConn
	mu       sync.Mutex
	state    Weather
	rng      *rand.Rand
	conns    map[net.Conn]bool
	bytes    int64 // that went on
}

// Weather is what is wrong with a link.
type Weather struct {
	Cut    bool
	Slow   time.Duration
	Lose   float64 // of datagrams
	Repeat float64
}

// NewMesh puts a link between every two processes, which listen at the targets.
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
	for _, l := range m.links { // each looks for its way back among the others
		go l.streams()
		go l.datagrams()
	}
	return m, nil
}

// Addr is where one process reaches another; its own address where they are the same.
func (m *Mesh) Addr(from, to int) string {
	if from == to {
		return m.targets[to]
	}
	return m.links[[2]int{from, to}].Addr
}

// Close ends all links.
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

// Set changes the weather from a process to another.
func (m *Mesh) Set(from, to int, w Weather) {
	l := m.links[[2]int{from, to}]
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = w
}

// SetAll changes the weather both ways between every process of one side and every one of the other.
func (m *Mesh) SetAll(some, others []int, w Weather) {
	for _, i := range some {
		for _, j := range others {
			if i != j {
				m.Set(i, j, w)
				m.Set(j, i, w)
			}
		}
	}
}

// Split cuts the mesh between sides: those of one reach no other's.
func (m *Mesh) Split(sides ...[]int) {
	for a := range sides {
		for b := a + 1; b < len(sides); b++ {
			m.SetAll(sides[a], sides[b], Weather{Cut: true})
		}
	}
}

// Heal takes all weather away.
func (m *Mesh) Heal() {
	for _, l := range m.links {
		l.mu.Lock()
		l.state = Weather{}
		l.mu.Unlock()
	}
}

func (l *Link) weather() Weather {
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

// carry takes a stream that the first process opened: its bytes go by this link's weather, the answer's by the other's.
func (l *Link) carry(c net.Conn) {
	defer c.Close()
	if l.weather().Cut { // the SYN never comes through: whoever dialled waits
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

// pass moves bytes from one to the other by a link's weather. What comes while it is cut is held for its end.
func pass(from, to net.Conn, l *Link) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		w := l.weather()
		for w.Cut {
			time.Sleep(20 * time.Millisecond)
			if w = l.weather(); l.closed() {
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

// BytesOf is what all links have carried that begin at a process.
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
