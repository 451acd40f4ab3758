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

// Entry is an instance of the list, in the protocol's form.
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

// List is the whole list or changes to it, in the protocol's form.
type List struct {
	Generation uint32  `json:"generation"`
	Reset      bool    `json:"reset"`
	Instances  []Entry `json:"instances"`
}

const beatEvery = 2 * time.Second

// Discovery is the list's truth, and an agent for each proxy that learns of it late.
// All methods may be called by any goroutine.
type Discovery struct {
	clock   *Clock
	journal *Journal
	mu      sync.Mutex
	gen     uint32
	entries map[string]change
	order   []string // ids in the order of their first coming
	agents  []*Agent
}

// change is an entry as of a version.
type change struct {
	Entry
	gen uint32
}

// Agent is the discovery service as one proxy finds it: HTTP at Addr.
type Agent struct {
	Addr  string
	proxy int
	of    *Discovery
	// address is where this proxy reaches an instance.
	address  func(id string) string
	mu       sync.Mutex
	lateness time.Duration
	gen      uint32
	entries  map[string]change
	order    []string
	pending  []delivery // in the order of the changes
	timer    *time.Timer
	changed  chan struct{} // closed and made anew with each change of any kind
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

// NewDiscovery makes an empty list.
func NewDiscovery(clock *Clock, journal *Journal) *Discovery {
	return &Discovery{clock: clock, journal: journal, entries: map[string]change{}}
}

// Agent starts an agent for a proxy. It has all that the list holds now; later
// changes reach it late by lateness.
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
		a.take(d.entries[id])
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

// Put changes the list: each entry comes in, or takes the place of its older self.
// A lifecycle of Gone takes it out.
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

// Entry is an instance as the list has it.
func (d *Discovery) Entry(id string) (Entry, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c, known := d.entries[id]
	return c.Entry, known
}

// Close ends all agents.
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

// ---- what reaches an agent ----

func (a *Agent) deliver(c change) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pending = append(a.pending, delivery{a.of.clock.Now() + a.lateness, c})
	a.arrive()
}

// arrive takes what is due, unless nothing gets through; the caller has the lock.
func (a *Agent) arrive() {
	if a.silent || a.down {
		return
	}
	now := a.of.clock.Now()
	for len(a.pending) > 0 && a.pending[0].at <= now {
		a.take(a.pending[0].change)
		a.pending = a.pending[1:]
		a.wake()
	}
	if len(a.pending) > 0 {
		wait := a.pending[0].at - now
		if a.timer == nil {
			a.timer = time.AfterFunc(wait, func() {
				a.mu.Lock()
				defer a.mu.Unlock()
				a.arrive()
			})
		} else {
			a.timer.Reset(wait)
		}
	}
}

func (a *Agent) take(c change) {
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

// Late sets how late further changes come.
func (a *Agent) Late(by time.Duration) {
	a.mu.Lock()
	a.lateness = by
	a.mu.Unlock()
}

// Silent lets watches stay open and say nothing, as a cut does; on false, what was missed comes.
func (a *Agent) Silent(on bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silent = on
	a.arrive()
	a.wake()
}

// Down ends watches and fails calls; on false it is up again, with what was missed.
func (a *Agent) Down(on bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.down = on
	a.arrive()
	a.wake()
}

// Watches is how many are open.
func (a *Agent) Watches() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.watches
}

// List is the whole list as this proxy last had it from the agent.
func (a *Agent) List() List {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.since(0, true)
}

// since is what changed after a version, or the whole list.
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
	if silent { // the call waits, and nothing comes
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
	beat := time.NewTicker(beatEvery)
	defer beat.Stop()
	for {
		a.mu.Lock()
		changed, silent, down := a.changed, a.silent, a.down
		// One that has a version of before this list's time gets the whole.
		whole := first && (from == 0 || from > a.gen)
		l := a.since(from, whole)
		a.mu.Unlock()
		if down {
			panic(http.ErrAbortHandler) // the watch ends, in the middle of its chunks
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

// send writes a list as a line, and notes that the proxy was told.
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
	if l.Reset { // what a whole list lacks is gone
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

// Script is a discovery service whose watches a test writes line by line.
type Script struct {
	Addr    string
	Watches chan ScriptedWatch // each watch as it comes
	server  *http.Server
	done    chan struct{}
}

// ScriptedWatch is a watch in the test's hands.
type ScriptedWatch struct {
	From  string
	Lines chan string   // closing it ends the watch
	Ended chan struct{} // it has ended
}

// NewScript starts one.
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
	if r.URL.Query().Get("watch") != "1" { // what a test scripts is its watches
		http.NotFound(w, r)
		return
	}
	v := ScriptedWatch{r.URL.Query().Get("from"), make(chan string, 16), make(chan struct{})}
	defer close(v.Ended)
	s.Watches <- v
	fmt.Fprintln(w) // nothing has changed so far
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

// Close ends it and its watches.
func (s *Script) Close() {
	s.server.Close()
	<-s.done
}
