// Package peers tracks which proxies of a fleet are alive, suspect or gone, and carries messages between them. It uses
// SWIM with the Lifeguard extensions, by github.com/hashicorp/memberlist. The package owns the sockets, the key ring, the
// members and the send queues. It does not interpret messages. A member's state is only a hint on whom to ask first:
// no safety property depends on it.
package peers

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
)

// Peer is a proxy: its name, and the address at which this proxy reaches it.
type Peer struct {
	Name    string `toml:"name"`
	Address string `toml:"address"`
}

// Config describes this proxy and its fleet.
type Config struct {
	Fleet, Name, Listen string
	Peers               []Peer
	Key                 []byte // 16, 24 or 32 bytes
	Boot                uint64 // of this process
	Started             time.Time
	Receive             func(from string, data []byte) // called on goroutines of this package; must not block
	Refused             func(error)                    // a peer or this process was refused; called once for each reason
}

// Limits of what is sent, and intervals between attempts to join.
const (
	maxDatagramBytes = 1200 // longer messages are sent on a stream
	queueLength      = 64   // messages to one peer that wait for a stream
	maxQueues        = 512
	joinEvery        = 2 * time.Second // while no other proxy is known
	maxJoins         = 5               // peers asked in one attempt
	rejoinEvery      = 15 * time.Second
)

// Member is a proxy as this one knows it.
type Member struct {
	Name    string    `json:"name"`
	Address string    `json:"address"`
	State   string    `json:"state"` // alive, suspect, gone
	Boot    uint64    `json:"boot"`  // identifies its process: a restarted proxy has another one
	Started time.Time `json:"started"`
	Since   time.Time `json:"since"` // when this proxy learnt of the state
}

// Peers is this proxy's membership among its peers. Join creates one.
type Peers struct {
	cfg       Config
	list      *memberlist.Memberlist
	via       *transport
	stop      chan struct{}
	wg        sync.WaitGroup
	mu        sync.Mutex
	known     map[string]Member // by name: a copy, as the library modifies its records under its own lock
	queues    map[string]chan []byte
	reported  map[string]bool
	nameTaken bool
}

type meta struct {
	Fleet   string `json:"f"`
	Boot    uint64 `json:"b"`
	Started int64  `json:"s"` // Unix milliseconds
}

// Join makes this proxy a member of the fleet, and keeps trying to reach missing peers in the background.
func Join(cfg Config) (*Peers, error) {
	table := map[string]string{}
	for _, p := range cfg.Peers {
		if p.Name != cfg.Name {
			table[p.Name] = p.Address
		}
	}
	via, err := newTransport(cfg.Listen, table)
	if err != nil {
		return nil, &ListenError{cfg.Listen, err}
	}
	p := &Peers{cfg: cfg, via: via, stop: make(chan struct{}), known: map[string]Member{}, queues: map[string]chan []byte{}, reported: map[string]bool{}}
	c := memberlist.DefaultLANConfig()
	c.Name, c.Transport, c.SecretKey, c.Label = cfg.Name, via, cfg.Key, cfg.Fleet
	c.Delegate, c.Events, c.Conflict, c.Alive, c.Ping = delegate{p}, delegate{p}, delegate{p}, delegate{p}, delegate{p}
	c.LogOutput = lineWriter(p.readLogLine)
	c.TCPTimeout, c.PushPullInterval, c.GossipInterval, c.GossipNodes = 3*time.Second, 30*time.Second, 250*time.Millisecond, 3
	c.DeadNodeReclaimTime = time.Second // a proxy may return with another address under its name
	c.EnableCompression = false
	if p.list, err = memberlist.Create(c); err != nil {
		via.Shutdown()
		return nil, &KeyError{err.Error()}
	}
	p.wg.Go(p.joinMissing)
	return p, nil
}

// joinMissing joins configured peers that are not known, at once and then periodically.
func (p *Peers) joinMissing() {
	for {
		var missing []string
		known := map[string]bool{p.cfg.Name: true}
		for _, m := range p.Members() {
			known[m.Name] = known[m.Name] || m.State != gone
		}
		for _, x := range p.cfg.Peers {
			if !known[x.Name] {
				missing = append(missing, x.Name+"/"+x.Address)
			}
		}
		// One peer that answers is enough, as it knows the others. Danger: 300 proxies that each ask all 300 at once
		// would flood the network when a fleet starts.
		rand.Shuffle(len(missing), func(i, j int) { missing[i], missing[j] = missing[j], missing[i] })
		for _, m := range missing[:min(len(missing), maxJoins)] {
			if p.closing() {
				return
			}
			_, err := p.list.Join([]string{m})
			if err == nil {
				break
			}
			if strings.Contains(err.Error(), "EOF") {
				p.reportOnce("closed "+m, &PeerClosedError{m})
			}
		}
		every := rejoinEvery
		if len(known) == 1 {
			every = joinEvery
		}
		select {
		case <-p.stop:
			return
		case <-time.After(every):
		}
	}
}

func (p *Peers) closing() bool {
	select {
	case <-p.stop:
		return true
	default:
		return false
	}
}

// reportOnce calls Config.Refused, once for each reason.
func (p *Peers) reportOnce(reason string, err error) {
	p.mu.Lock()
	said := p.reported[reason] || len(p.reported) > 100
	p.reported[reason] = true
	p.mu.Unlock()
	if !said {
		go p.cfg.Refused(err) // on a goroutine, as the library may hold its lock, which the callee may wait for
	}
}

// readLogLine looks in the library's log lines for suspect members and refused peers, which it reports nowhere else.
func (p *Peers) readLogLine(line string) {
	l := strings.ToLower(line)
	from := ""
	if i := strings.Index(line, "from="); i >= 0 {
		from, _, _ = net.SplitHostPort(strings.TrimSpace(line[i+len("from="):]))
	}
	if _, rest, found := strings.Cut(line, "memberlist: Suspect "); found {
		name, _, _ := strings.Cut(rest, " has failed")
		p.changeState(name, alive, suspect)
	}
	switch {
	case strings.Contains(l, "decrypt"), strings.Contains(l, "no installed keys"), strings.Contains(l, "encryption"):
		p.reportOnce("key "+from, &KeyError{"a peer uses another key: " + from})
	case strings.Contains(l, "label"):
		p.reportOnce("label "+from, &OtherFleetError{from})
	}
}

// Send sends a message to a peer, or drops it if the peer is unknown or its queue is full. It does not block.
func (p *Peers) Send(to string, data []byte) {
	addr, known := p.via.table[to]
	if !known {
		p.mu.Lock()
		var m Member
		if m, known = p.known[to]; m.State == gone {
			known = false
		}
		addr = m.Address
		p.mu.Unlock()
	}
	if !known {
		return
	}
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return
	}
	var n int
	fmt.Sscan(port, &n)
	frame := append(append([]byte{byte(len(p.cfg.Name))}, p.cfg.Name...), data...)
	node := &memberlist.Node{Name: to, Addr: net.ParseIP(host), Port: uint16(n)}
	if len(frame) <= maxDatagramBytes {
		p.list.SendBestEffort(node, frame) // may be lost: senders retry what they need answered
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.queues[to]
	if q == nil {
		if len(p.queues) >= maxQueues || p.closing() {
			return
		}
		q = make(chan []byte, queueLength)
		p.queues[to] = q
		p.wg.Go(func() { p.sendQueued(to, node, q) })
	}
	select {
	case q <- frame:
	default:
	}
}

// sendQueued sends the messages in the queue of one peer, and ends once it is empty.
func (p *Peers) sendQueued(to string, node *memberlist.Node, q chan []byte) {
	for {
		select {
		case frame := <-q:
			p.via.sent.Add(int64(len(frame)))
			p.list.SendReliable(node, frame)
		case <-p.stop:
			return
		default:
			p.mu.Lock()
			if len(q) == 0 {
				delete(p.queues, to)
				p.mu.Unlock()
				return
			}
			p.mu.Unlock()
		}
	}
}

// States of a member. They are part of the status as JSON.
const (
	alive   = "alive"
	suspect = "suspect" // it does not answer this proxy's probes
	gone    = "gone"
)

const maxMembers = 2048

// Members returns all known members, including this proxy, sorted by name.
func (p *Peers) Members() []Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]Member, 0, len(p.known))
	for _, m := range p.known {
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// recordNode records a node's state. The library calls it with its lock held, so p.mu must never be held in a call to the
// library, or both could deadlock.
func (p *Peers) recordNode(n *memberlist.Node, state string) {
	var m meta
	json.Unmarshal(n.Meta, &m)
	p.mu.Lock()
	defer p.mu.Unlock()
	was, exists := p.known[n.Name]
	if !exists && len(p.known) >= maxMembers {
		return
	}
	since := was.Since
	if was.State != state {
		since = time.Now()
	}
	p.known[n.Name] = Member{Name: n.Name, Address: n.Address(), State: state, Boot: m.Boot, Started: time.UnixMilli(m.Started), Since: since}
}

// changeState moves a member from one state to another, if it is in the first.
func (p *Peers) changeState(name, from, to string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m, exists := p.known[name]; exists && m.State == from {
		m.State, m.Since = to, time.Now()
		p.known[name] = m
	}
}

// Sent returns how many bytes have been sent.
func (p *Peers) Sent() int64 { return p.via.sent.Load() }

// Close leaves the fleet. It spends at most 100 ms on telling the others.
func (p *Peers) Close() {
	p.mu.Lock()
	select {
	case <-p.stop:
		p.mu.Unlock()
		return
	default:
	}
	close(p.stop)
	p.mu.Unlock()
	p.list.Leave(100 * time.Millisecond)
	p.list.Shutdown()
	p.wg.Wait()
}

// delegate implements the library's callbacks.
type delegate struct{ *Peers }

func (d delegate) NodeMeta(int) []byte {
	text, err := json.Marshal(meta{d.cfg.Fleet, d.cfg.Boot, d.cfg.Started.UnixMilli()})
	if err != nil {
		return nil
	}
	return text
}

func (d delegate) NotifyMsg(frame []byte) {
	if len(frame) < 1 || len(frame) < 1+int(frame[0]) {
		return
	}
	n := 1 + int(frame[0])
	d.cfg.Receive(string(frame[1:n]), append([]byte(nil), frame[n:]...))
}

func (d delegate) GetBroadcasts(int, int) [][]byte { return nil }
func (d delegate) LocalState(bool) []byte          { return nil }
func (d delegate) MergeRemoteState([]byte, bool)   {}

func (d delegate) NotifyJoin(n *memberlist.Node)   { d.recordNode(n, alive) }
func (d delegate) NotifyUpdate(n *memberlist.Node) { d.recordNode(n, alive) }
func (d delegate) NotifyLeave(n *memberlist.Node)  { d.recordNode(n, gone) }

func (delegate) AckPayload() []byte { return nil }

// NotifyPingComplete is called when a node has answered a probe.
func (d delegate) NotifyPingComplete(n *memberlist.Node, _ time.Duration, _ []byte) {
	d.changeState(n.Name, suspect, alive)
}

// NotifyAlive rejects proxies of other fleets.
func (d delegate) NotifyAlive(n *memberlist.Node) error {
	var m meta
	if err := json.Unmarshal(n.Meta, &m); err != nil || m.Fleet != d.cfg.Fleet {
		err := &OtherFleetError{n.Address()}
		d.reportOnce("fleet "+n.Address(), err)
		return err
	}
	return nil
}

// NotifyConflict is called when two processes use one name. The one that started later is refused.
func (d delegate) NotifyConflict(existing, other *memberlist.Node) {
	err := &NameTakenError{Name: other.Name, Here: existing.Address(), There: other.Address()}
	var m meta
	json.Unmarshal(other.Meta, &m)
	if other.Name == d.cfg.Name && (m.Started < d.cfg.Started.UnixMilli() || m.Started == d.cfg.Started.UnixMilli() && m.Boot < d.cfg.Boot) {
		d.mu.Lock()
		d.nameTaken = true
		d.mu.Unlock()
		err.Mine = true
	}
	d.reportOnce("name "+other.Name+other.Address(), err)
}

// Taken reports whether this process is refused because another one uses its name.
func (p *Peers) Taken() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.nameTaken
}

// ReadKey reads a key file: 16, 24 or 32 bytes, raw or in hexadecimal.
func ReadKey(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &KeyError{err.Error()}
	}
	text := strings.TrimSpace(string(data))
	var raw []byte
	if _, err := fmt.Sscanf(text, "%x", &raw); err == nil && len(raw)*2 == len(text) && memberlist.ValidateKey(raw) == nil {
		return raw, nil
	}
	if memberlist.ValidateKey(data) == nil {
		return data, nil
	}
	return nil, &KeyError{fmt.Sprintf("%s: a key of 16, 24 or 32 bytes is needed, raw or in hexadecimal", path)}
}

// ListenError is a failure to listen for peers at an address.
type ListenError struct {
	Address string
	Err     error
}

func (e *ListenError) Error() string {
	return fmt.Sprintf("can't listen at fleet.listen %s: %v", e.Address, e.Err)
}
func (e *ListenError) Unwrap() error { return e.Err }

// Advice says what an operator can do.
func (e *ListenError) Advice() string {
	return "set fleet.listen to an address of this machine with a TCP and UDP port that no other process uses"
}

// KeyError is a key that can't be used, or a peer that uses another key.
type KeyError struct{ Reason string }

func (e *KeyError) Error() string { return "fleet.key-file: " + e.Reason }

// Advice says what an operator can do.
func (e *KeyError) Advice() string { return "put the same key file on all proxies of the fleet" }

// OtherFleetError is a peer of another fleet.
type OtherFleetError struct{ Address string }

func (e *OtherFleetError) Error() string { return "a peer of another fleet was refused: " + e.Address }

// Advice says what an operator can do.
func (e *OtherFleetError) Advice() string {
	return "compare fleet.name and fleet.peers of both proxies: fleet.peers must list only proxies of the same fleet"
}

// PeerClosedError is a peer that closed the connection during a join.
type PeerClosedError struct{ Peer string }

func (e *PeerClosedError) Error() string {
	return "the peer " + e.Peer + " closed the connection when this proxy tried to join"
}

// Advice says what an operator can do.
func (e *PeerClosedError) Advice() string {
	return "compare fleet.name and the key file with that proxy's; its log says which of them differs"
}

// NameTakenError is a name that two processes use.
type NameTakenError struct {
	Name, Here, There string
	Mine              bool // this process is the one that is refused
}

func (e *NameTakenError) Error() string {
	if e.Mine {
		return fmt.Sprintf("the name %s is used by another proxy, at %s: this proxy is refused by the fleet", e.Name, e.There)
	}
	return fmt.Sprintf("the name %s is used twice, at %s and at %s: the proxy that started later is refused", e.Name, e.Here, e.There)
}

// Advice says what an operator can do.
func (e *NameTakenError) Advice() string {
	return "give each proxy a unique name (NODE_NAME, or name in its configuration)"
}
