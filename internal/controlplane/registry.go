package controlplane

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"marlreel/internal/api"
	"marlreel/internal/distribution/watch"
	"marlreel/internal/process/transport"
)

const (
	// lookEvery is how often it is looked who has fallen silent.
	lookEvery = 250 * time.Millisecond
	// missedBeats is how many heartbeats a backend may miss before it is dropped.
	missedBeats = 3
	// unheardFactor is how many times longer a backend is kept whose reports came
	// through a process that has fallen silent itself.
	unheardFactor = 5
	// nodeSilence is after what time a node without a call is no longer counted.
	nodeSilence = 4 * time.Second
	// peerSilence is after what time another control process counts as silent.
	peerSilence = 2500 * time.Millisecond
)

// heard is when and by whom a backend or a node was heard last.
type heard struct {
	via string // the control process; "" is this one
	at  time.Time
}

// Registry knows the backends and the nodes from their calls, here and at the other
// control processes.
type Registry struct {
	self   *api.ControlNode
	feed   *watch.Store
	beat   time.Duration
	client *transport.Client

	mu     sync.Mutex
	heard  map[string]heard     // backends
	nodes  map[string]heard     // nodes
	peers  map[string]time.Time // when each other control process told something last
	places map[string]*api.ControlNode
	links  map[string]*peerLink // to the other control processes
	read   map[string]time.Time // when each node read the feed here last
}

// NewRegistry makes an empty registry; self is this process.
func NewRegistry(self *api.ControlNode, out *watch.Store, beat time.Duration, client *transport.Client) *Registry {
	return &Registry{
		self: self, feed: out, beat: beat, client: client, heard: map[string]heard{}, nodes: map[string]heard{},
		peers: map[string]time.Time{}, places: map[string]*api.ControlNode{}, links: map[string]*peerLink{}, read: map[string]time.Time{},
	}
}

// Silence is how long a backend may be silent before it is dropped.
func (r *Registry) Silence() time.Duration { return missedBeats*r.beat + r.beat/2 }

// Beat takes in a backend's heartbeat.
func (r *Registry) Beat(b *api.Backend) {
	r.mu.Lock()
	r.heard[b.Id] = heard{at: time.Now()}
	r.mu.Unlock()
	if r.feed.RecordBackend(b) {
		r.hurry()
	}
}

// Node takes in a node's call.
func (r *Registry) Node(n *api.Node) {
	r.mu.Lock()
	_, known := r.nodes[n.Name]
	r.nodes[n.Name] = heard{at: time.Now()}
	r.mu.Unlock()
	r.feed.RecordNode(n)
	if !known {
		r.hurry()
	}
}

// Reads notes that a node reads the feed here.
func (r *Registry) Reads(node string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.read[node] = time.Now()
}

// Readers are the nodes that read the feed here.
func (r *Registry) Readers() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Sorted(maps.Keys(r.read))
}

// Take takes in what another control process has heard. It tells whether all of those
// that still live are known here.
func (r *Registry) Take(reports *api.MembershipUpdate) (known bool) {
	now := time.Now()
	r.mu.Lock()
	r.peers[reports.From] = now
	if reports.Node != nil {
		r.places[reports.From] = reports.Node
	}
	note := func(table map[string]heard, id string, ageMS uint32) {
		at := now.Add(-time.Duration(ageMS) * time.Millisecond)
		if table[id].at.Before(at) {
			table[id] = heard{via: reports.From, at: at}
		}
	}
	for _, b := range reports.Backends {
		note(r.heard, b.Id, b.AgeMs)
	}
	for _, s := range reports.Heartbeats {
		note(r.heard, s.Id, s.AgeMs)
	}
	for _, n := range reports.Nodes {
		note(r.nodes, n.Name, n.AgeMs)
	}
	r.mu.Unlock()
	for _, b := range reports.Backends {
		r.feed.RecordBackend(b)
	}
	known = true
	for _, s := range reports.Heartbeats {
		known = r.feed.RefreshBackend(s.Id, s.CallSequence, time.Duration(s.AgeMs)*time.Millisecond) && known
	}
	for _, n := range reports.Nodes {
		r.feed.RecordNode(n)
	}
	for _, o := range reports.Observations {
		r.feed.RecordObservation(o)
	}
	return known
}

// Places tells where the control processes are that count.
func (r *Registry) Places(members []string) []*api.ControlNode {
	r.mu.Lock()
	defer r.mu.Unlock()
	nodes := make([]*api.ControlNode, 0, len(members))
	for _, address := range members {
		switch {
		case address == r.self.Address:
			nodes = append(nodes, r.self)
		case r.places[address] != nil:
			nodes = append(nodes, r.places[address])
		default:
			nodes = append(nodes, &api.ControlNode{Address: address})
		}
	}
	return nodes
}

// near is a control process in a zone that was heard of late, where this one is not in that
// zone itself; "" is none.
func (r *Registry) near(zone string) string {
	if zone == r.self.Zone {
		return ""
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for address, place := range r.places {
		if place.Zone == zone && time.Since(r.peers[address]) < peerSilence {
			return place.PublicAddress
		}
	}
	return ""
}

// Run keeps the links to the other control processes, and drops who has fallen silent, until
// ctx ends. members gives the addresses of all control processes that count.
func (r *Registry) Run(ctx context.Context, members func() []string) {
	looks := time.NewTicker(lookEvery)
	defer looks.Stop()
	for {
		r.link(ctx, members())
		select {
		case <-looks.C:
		case <-ctx.Done():
			return
		}
		r.expire()
	}
}

// link keeps one link for each other control process.
func (r *Registry) link(ctx context.Context, members []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for address, l := range r.links {
		if !slices.Contains(members, address) {
			l.end()
			delete(r.links, address)
		}
	}
	for _, address := range members {
		if address != r.self.Address && r.links[address] == nil {
			l := newPeerLink(ctx, r, address)
			r.links[address] = l
			go l.run()
		}
	}
}

// hurry has the links tell what is new.
func (r *Registry) hurry() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.links {
		l.hurry()
	}
}

// Observe takes in what an agent tells of backends, and has the other control processes told.
func (r *Registry) Observe(observed []*api.Observation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, o := range observed {
		r.feed.RecordObservation(o)
		for _, l := range r.links {
			l.observed.Store(l.now(), o.Id, o)
			l.hurry()
		}
	}
}

// expire drops the backends that have fallen silent, and forgets who heard them.
func (r *Registry) expire() {
	now, silence := time.Now(), r.Silence()
	r.mu.Lock()
	lost := map[string]bool{}
	for id, h := range r.heard {
		limit := silence
		if h.via != "" && now.Sub(r.peers[h.via]) > peerSilence {
			limit *= unheardFactor // that process is silent, which says nothing of the backend
		}
		if now.Sub(h.at) > limit {
			lost[id] = true
			delete(r.heard, id)
		}
	}
	for name, h := range r.nodes {
		if now.Sub(h.at) > nodeSilence {
			delete(r.nodes, name)
		}
	}
	maps.DeleteFunc(r.read, func(_ string, at time.Time) bool { return now.Sub(at) > nodeSilence })
	r.mu.Unlock()
	r.feed.ExpireBackends(func(b *api.Backend, _ time.Duration) bool { return lost[b.Id] })
	r.feed.ExpireNodes(nodeSilence)
}
