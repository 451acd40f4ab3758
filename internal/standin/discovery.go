package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Entry is an instance of the list, as in the protocol.
type Entry struct {
	InstanceID  string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"`
}

// List is the complete list or a set of changes to it, as in the protocol.
type List struct {
	Generation uint32  `json:"generation"`
	Reset      bool    `json:"reset"`
	Instances  []Entry `json:"instances"`
}

const heartbeatInterval = 2 * time.Second

// Discovery holds the authoritative list, and an agent for each proxy that receives changes with a delay.
// Its methods are safe for concurrent use.
type Discovery struct {
	clock   *Clock
	journal *Journal
	mu      sync.Mutex
	gen     uint32
	entries map[string]change
	order   []string // IDs in the order in which they were first put
	agents  []*Agent
}

// change is an entry and the list version that set it.
type change struct {
	Entry
	gen uint32
}

// Agent is the discovery service as one proxy sees it: HTTP on Addr.
type Agent struct {
	Addr  string
	proxy int
	of    *Discovery
	// address returns the address at which this proxy reaches an instance.
	address  func(id string) string
	mu       sync.Mutex
	lateness time.Duration
	gen      uint32
	entries  map[string]change
	order    []string
	pending  []delivery // in the order of the changes
	timer    *time.Timer
	changed  chan struct{} // closed and replaced at each change of any kind
	silent   bool
	down     bool
	watches  int
	server   *http.Server
	cancel   context.CancelFunc
	done     chan struct{}
}

type delivery struct {
	at time.Duration
	change
}

// NewDiscovery returns a Discovery with an empty list.
func NewDiscovery(clock *Clock, journal *Journal) *Discovery {
	return &Discovery{clock: clock, journal: journal, entries: map[string]change{}}
}

// Agent starts an agent for a proxy. It has the whole present list; later changes
// reach it after a delay of lateness.
func (d *Discovery) Agent(proxy int, lateness time.Duration, address func(id string) string) (*Agent, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	a := &Agent{
		Addr: ln.Addr().String(), proxy: proxy, of: d, address: address, lateness: lateness,
		entries: map[string]change{}, changed: make(chan struct{}), cancel: cancel, done: make(chan struct{}),
	}
	d.mu.Lock()
	for _, id := range d.order {
		a.apply(d.entries[id])
	}
	d.agents = append(d.agents, a)
	d.mu.Unlock()
	a.server = &http.Server{
		Handler: a, ReadHeaderTimeout: 5 * time.Second,
		BaseContext: func(net.Listener) context.Context { return ctx },
	}
	go func() {
		defer close(a.done)
		a.server.Serve(ln)
	}()
	return a, nil
}

// Put adds entries to the list or replaces those with the same ID.
// A lifecycle of Gone removes an entry.
func (d *Discovery) Put(entries ...Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range entries {
		d.gen++
		if _, known := d.entries[e.InstanceID]; !known {
			d.order = append(d.order, e.InstanceID)
		}
		c := change{e, d.gen}
		d.entries[e.InstanceID] = c
		for _, a := range d.agents {
			a.deliver(c)
		}
	}
}

// Entry returns an instance of the list by its ID.
func (d *Discovery) Entry(id string) (Entry, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c, known := d.entries[id]
	return c.Entry, known
}

// Close stops all agents.
func (d *Discovery) Close() {
	d.mu.Lock()
	agents := slices.Clone(d.agents)
	d.mu.Unlock()
	for _, a := range agents {
		a.close()
	}
}

func (a *Agent) close() {
	a.cancel()
	a.server.Close()
	<-a.done
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.timer != nil {
		a.timer.Stop()
	}
	a.down = true
	a.wake()
}

// ---- delivery of changes to an agent ----

func (a *Agent) deliver(c change) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pending = append(a.pending, delivery{a.of.clock.Now() + a.lateness, c})
	a.applyDue()
}

// applyDue applies the changes that are due, unless the agent is silent or down. The caller holds the lock.
func (a *Agent) applyDue() {
	if a.silent || a.down {
		return
	}
	now := a.of.clock.Now()
	for len(a.pending) > 0 && a.pending[0].at <= now {
		a.apply(a.pending[0].change)
		a.pending = a.pending[1:]
		a.wake()
	}
	if len(a.pending) > 0 {
		wait := a.pending[0].at - now
		if a.timer == nil {
			a.timer = time.AfterFunc(wait, func() {
				a.mu.Lock()
				defer a.mu.Unlock()
				a.applyDue()
			})
		} else {
			a.timer.Reset(wait)
		}
	}
}

func (a *Agent) apply(c change) {
	if _, known := a.entries[c.InstanceID]; !known {
		a.order = append(a.order, c.InstanceID)
	}
	if a.address != nil && c.HostPort == "" {
		c.HostPort = a.address(c.InstanceID)
	}
	a.entries[c.InstanceID] = c
	a.gen = max(a.gen, c.gen)
}

func (a *Agent) wake() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// Late sets the delay of further changes.
func (a *Agent) Late(by time.Duration) {
	a.mu.Lock()
	a.lateness = by
	a.mu.Unlock()
}

// Silent keeps watches open without sending anything, as a network partition does. Silent(false) sends what was missed.
func (a *Agent) Silent(on bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silent = on
	a.applyDue()
	a.wake()
}

// Down ends watches and fails calls. Down(false) brings the agent back with what was missed.
func (a *Agent) Down(on bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.down = on
	a.applyDue()
	a.wake()
}

// Watches returns the number of open watches.
func (a *Agent) Watches() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.watches
}

// List returns the agent's present list as a complete list.
func (a *Agent) List() List {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.since(0, true)
}

// since returns the changes after a version, or the whole list.
func (a *Agent) since(from uint32, whole bool) List {
	l := List{Generation: a.gen, Reset: whole, Instances: []Entry{}}
	for _, id := range a.order {
		if c := a.entries[id]; !whole && c.gen > from || whole && c.Lifecycle != "Gone" {
			l.Instances = append(l.Instances, c.Entry)
		}
	}
	return l
}

// ---- HTTP ----

// ServeHTTP implements http.Handler.
func (a *Agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/endpoints" || r.Method != http.MethodGet {
		http.NotFound(w, r)
		return
	}
	a.mu.Lock()
	down, silent := a.down, a.silent
	a.mu.Unlock()
	if down {
		http.Error(w, "discovery is down", http.StatusServiceUnavailable)
		return
	}
	if silent { // the call gets no answer
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if r.URL.Query().Get("watch") != "1" {
		a.mu.Lock()
		l := a.since(0, true)
		a.mu.Unlock()
		a.send(w, l)
		return
	}
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 32)
	if err != nil {
		http.Error(w, "from is no version", http.StatusBadRequest)
		return
	}
	a.watch(w, r, uint32(from))
}

func (a *Agent) watch(w http.ResponseWriter, r *http.Request, from uint32) {
	a.mu.Lock()
	a.watches++
	a.mu.Unlock()
	defer func() {
		a.mu.Lock()
		a.watches--
		a.mu.Unlock()
	}()
	first := true
	beat := time.NewTicker(heartbeatInterval)
	defer beat.Stop()
	for {
		a.mu.Lock()
		changed, silent, down := a.changed, a.silent, a.down
		// A watch without a version, or with one that this list never had, gets the whole list.
		whole := first && (from == 0 || from > a.gen)
		l := a.since(from, whole)
		a.mu.Unlock()
		if down {
			panic(http.ErrAbortHandler) // ends the watch in the middle of its chunked body
		}
		if !silent && (first || len(l.Instances) > 0) {
			if !a.send(w, l) {
				return
			}
			first, from = false, l.Generation
		}
		select {
		case <-changed:
		case <-beat.C:
			a.mu.Lock()
			silent = a.silent
			a.mu.Unlock()
			if !silent {
				fmt.Fprintln(w)
				w.(http.Flusher).Flush()
			}
		case <-r.Context().Done():
			return
		}
	}
}

// send writes a list as a line and records in the journal what the proxy was told.
func (a *Agent) send(w http.ResponseWriter, l List) bool {
	data, err := json.Marshal(l)
	if err != nil {
		return false
	}
	if _, err := w.Write(append(data, '\n')); err != nil {
		return false
	}
	w.(http.Flusher).Flush()
	at := a.of.clock.Now()
	for _, e := range l.Instances {
		a.of.journal.tell(Told{a.proxy, e.InstanceID, e.Lifecycle, at})
	}
	if l.Reset { // a whole list implies that the instances missing from it are gone
		a.mu.Lock()
		var gone []string
		for _, id := range a.order {
			if a.entries[id].Lifecycle == "Gone" {
				gone = append(gone, id)
			}
		}
		a.mu.Unlock()
		for _, id := range gone {
			a.of.journal.tell(Told{a.proxy, id, "Gone", at})
		}
	}
	return true
}

// Script is a discovery service whose watch lines are written by a test.
type Script struct {
	Addr    string
	Watches chan ScriptedWatch // each watch as it is opened
	server  *http.Server
	done    chan struct{}
}

// ScriptedWatch is an open watch that a test controls.
type ScriptedWatch struct {
	From  string
	Lines chan string   // closing it ends the watch
	Ended chan struct{} // closed when the watch has ended
}

// NewScript starts a Script on a new loopback address.
func NewScript() (*Script, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	s := &Script{Addr: ln.Addr().String(), Watches: make(chan ScriptedWatch, 16), done: make(chan struct{})}
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go func() {
		defer close(s.done)
		s.server.Serve(ln)
	}()
	return s, nil
}

func (s *Script) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("watch") != "1" { // only watches are scripted
		http.NotFound(w, r)
		return
	}
	v := ScriptedWatch{r.URL.Query().Get("from"), make(chan string, 16), make(chan struct{})}
	defer close(v.Ended)
	s.Watches <- v
	fmt.Fprintln(w) // a blank line is a heartbeat: nothing has changed so far
	w.(http.Flusher).Flush()
	beat := time.NewTicker(time.Second)
	defer beat.Stop()
	for {
		line := ""
		select {
		case l, open := <-v.Lines:
			if !open {
				return
			}
			line = l
		case <-beat.C:
		case <-r.Context().Done():
			return
		}
		fmt.Fprintln(w, line)
		w.(http.Flusher).Flush()
	}
}

// Close stops the service and ends its watches.
func (s *Script) Close() {
	s.server.Close()
	<-s.done
}
