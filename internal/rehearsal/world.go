package rehearsal

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"marlreel/internal/standin"
	"marlreel/internal/standin/machine"
)

// proxyName is a proxy's name, the same after a restart.
func proxyName(n int) string { return fmt.Sprintf("n%d", n) }

// world is a scenario's nodes, discovery and proxies, as they stand.
type world struct {
	scenario *Scenario
	plan     *Plan
	clock    *standin.Clock
	journal  *standin.Journal
	dir      string // of configurations and logs
	anyone   bool   // requests that are not of the plan are served too

	discovery *standin.Discovery
	enrolled  *enrolled // the list in a registry; nil: there is none
	agents    []*standin.Agent
	first     standin.List // the list at the start
	groups    map[string]*standin.Group
	demands   map[string]machine.Job
	sizes     map[string]int // of answers, by class
	front     *standin.Front
	proxies   []*proxy
	mesh      *standin.Mesh // between the proxies of a fleet; nil: they know nothing of one another
	stopping  chan struct{} // closed when the run is over: a proxy that ends now has not crashed

	mu       sync.Mutex
	nodes    []*standin.Node // by index in the plan; nil: not started
	paths    [][]standin.Path
	index    map[string]int       // of nodes, by id
	started  map[string]time.Time // of nodes, where not long ago
	crashes  []string
	networks map[int]standin.Network // by node
	fallen   map[string]bool         // nodes that fell and were taken off the list
	reloads  []Reload
	crowded  atomic.Int64 // connections of crowds
	began    atomic.Int64 // start of the traffic; 0: not yet
	wg       sync.WaitGroup
}

// newWorld stands everything up but the proxies. What it started is ended by close,
// also where it gives an error.
func newWorld(s *Scenario, p *Plan, clock *standin.Clock, journal *standin.Journal, dir string) (*world, error) {
	w := &world{
		scenario: s, plan: p, clock: clock, journal: journal, dir: dir, groups: map[string]*standin.Group{},
		demands: map[string]machine.Job{}, sizes: map[string]int{}, index: map[string]int{}, started: map[string]time.Time{},
		fallen: map[string]bool{}, networks: map[int]standin.Network{}, stopping: make(chan struct{}), nodes: make([]*standin.Node, len(p.Nodes)),
		paths: make([][]standin.Path, len(p.Nodes)),
	}
	longest := time.Duration(0)
	for _, c := range s.Classes {
		longest = max(longest, c.Window.D())
		w.sizes[c.Name] = c.Size
	}
	for _, z := range s.Fleet.Zones {
		w.groups[z] = standin.NewGroup(longest)
	}
	for _, r := range p.Requests {
		for _, id := range r.IDs {
			w.demands[id] = machine.Job{Work: r.Work, Wait: r.Wait}
		}
	}
	w.discovery = standin.NewDiscovery(clock, journal)
	if s.Registry.Kind != "" {
		store, err := standin.StartRegistry()
		if err != nil {
			return w, err
		}
		w.enrolled = &enrolled{store: store, now: map[string]standin.Entry{}}
	}
	for i, n := range p.Nodes {
		w.index[n.ID] = i
		if n.Replaces >= 0 {
			w.paths[i] = w.paths[n.Replaces]
			continue
		}
		for k := range s.Proxies.Count {
			offset := 0
			if s.RPC() {
				offset = rpcOffset
			}
			addr, rpcAddr, err := standin.AddressPair(offset)
			if err != nil {
				return w, err
			}
			if offset == 0 {
				rpcAddr = ""
			}
			cross := s.Fleet.Zones[k%len(s.Fleet.Zones)] != n.Zone
			delay := s.Fleet.SameZone.D()
			if cross {
				delay = s.Fleet.CrossZone.D()
			}
			w.paths[i] = append(w.paths[i], standin.Path{Addr: addr, RPC: rpcAddr, Proxy: k, Cross: cross, Delay: delay})
		}
		if err := w.startNode(i, true); err != nil {
			return w, err
		}
		w.put(w.entry(i, "Ready"))
	}
	for k := range s.Proxies.Count {
		a, err := w.discovery.Agent(k, p.Late[k], func(id string) string { return w.paths[w.index[id]][k].Addr })
		if err != nil {
			return w, err
		}
		w.agents = append(w.agents, a)
	}
	w.first = w.agents[0].List()
	return w, nil
}

func (w *world) startNode(i int, warm bool) error {
	n, f := w.plan.Nodes[i], w.scenario.Fleet
	node, err := standin.StartNode(standin.NodeConfig{
		ID: n.ID, Zone: n.Zone, Kind: n.Kind, Warm: warm,
		Machine: machine.Config{
			Cores: n.Cores, Speed: float64(n.Permille) / 1000, Slots: n.Slots, Queue: n.Queue,
			Warmup: machine.Warmup{
				InitialCapacity: f.Cold.From, Duration: f.Cold.For.D(),
				OverloadMultiple: f.Cold.Multiple, OverloadWindow: f.Cold.Over.D(),
			},
			Congestion: machine.Congestion{
				Headroom: f.Crowd.At, Window: f.Crowd.Over.D(), Slowdown: f.Crowd.Slower,
				RecoveryWindow: f.Crowd.Rest.D(), RecoveryUtilization: f.Crowd.Below, MaxDuration: f.Crowd.Most.D(), OncePerStart: true,
			},
		},
		Connections: f.Connections, Idle: f.Idle.D(), Handshake: f.Handshake.D(), Probes: f.ProbeWork > 0,
		ProbeWork: f.ProbeWork.D(), Group: w.groups[n.Zone], Demand: w.demand, Size: w.size, Gives: w.gives, Clock: w.clock, Journal: w.journal,
		Paths: w.paths[i],
	})
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nodes[i] = node
	if !warm {
		w.started[n.ID] = time.Now()
	}
	return nil
}

func (w *world) demand(id, class string) (machine.Job, bool) {
	j, known := w.demands[id]
	if !known && w.anyone {
		for _, c := range w.scenario.Classes {
			if c.Name == class {
				return machine.Job{Work: c.Work.D(), Wait: c.Wait.D()}, true
			}
		}
	}
	return j, known
}

func (w *world) size(_, class string) int {
	if n := w.sizes[class]; n > 0 {
		return n
	}
	return 512
}

// gives says how nodes give a class's large answers.
func (w *world) gives(class string) (rate int, chunked bool) {
	for _, c := range w.scenario.Classes {
		if c.Name == class {
			return c.Gives, c.Chunked
		}
	}
	return 0, false
}

// absolute is a folder as a process with another working folder finds it.
func absolute(dir string) string {
	if abs, err := filepath.Abs(dir); err == nil {
		return abs
	}
	return dir
}

func (w *world) entry(i int, lifecycle string) standin.Entry {
	n := w.plan.Nodes[i]
	w.mu.Lock()
	defer w.mu.Unlock()
	e := standin.Entry{InstanceID: n.ID, Zone: n.Zone, MachineType: n.Kind, Lifecycle: lifecycle, Weight: 1}
	if at, known := w.started[n.ID]; known {
		e.StartedAtMs = at.UnixMilli()
	}
	return e
}

func (w *world) node(i int) *standin.Node {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.nodes[i]
}

// startProxies starts all proxies and the front, and waits until each is taken in.
func (w *world) startProxies(ctx context.Context, command []string, listen []string) error {
	if err := w.enfleet(); err != nil {
		return err
	}
	var known []standin.FrontProxy
	for k := range w.scenario.Proxies.Count {
		p := &proxy{
			n: k, command: command, config: filepath.Join(w.dir, proxyName(k)+".json"),
			logPath: filepath.Join(w.dir, proxyName(k)+".log"), doors: w.scenario.door(), attempts: w.scenario.Rules.MaxAttempts,
		}
		if k < len(listen) {
			p.addr = listen[k]
		} else {
			addr, err := standin.Address()
			if err != nil {
				return err
			}
			p.addr = addr
		}
		w.proxies = append(w.proxies, p)
		if w.scenario.held() {
			if err := p.hold(); err != nil {
				return err
			}
			// A short path: sockets in it have a bound on theirs.
			temp, err := os.MkdirTemp("", "rehearse-"+proxyName(k))
			if err != nil {
				return err
			}
			p.temp = temp
		}
		if w.scenario.RPC() {
			addr, err := standin.Address()
			if err != nil {
				return err
			}
			p.rpc = addr
		}
		store := ""
		if w.enrolled != nil {
			store = w.enrolled.store.URL()
		}
		if w.scenario.RPC() || len(w.scenario.Proxies.Own) > 0 || store != "" || w.mesh != nil {
			own := filepath.Join(w.dir, proxyName(k)+".toml")
			if err := os.WriteFile(own, []byte(w.scenario.OwnFile(k, p.rpc, store, absolute(w.dir), w.mesh)), 0o644); err != nil {
				return fmt.Errorf("configuration: %w", err)
			}
			p.command = append(slices.Clone(command), "--config", own)
		}
		known = append(known, standin.FrontProxy{Addr: p.addr, RPC: p.rpc, Zone: w.scenario.Fleet.Zones[k%len(w.scenario.Fleet.Zones)]})
		if err := w.startProxy(p, w.agents[k].List()); err != nil {
			return err
		}
	}
	w.front = standin.NewFront(w.scenario.Proxies.DeadAfter.D(), known)
	ready, cancel := context.WithTimeoutCause(ctx, 30*time.Second, errors.New("the proxies were not ready within 30 s"))
	defer cancel()
	go func() { // one that ends at once is told at once
		for ready.Err() == nil {
			if w.crashed() > 0 {
				cancel()
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	}()
	if err := w.front.WaitAll(ready); err != nil {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		for _, p := range w.proxies {
			p.mu.Lock()
			ended := p.now.ended()
			p.mu.Unlock()
			if ended {
				return fmt.Errorf("proxy %s ended at its start: %s", proxyName(p.n), p.lastWords())
			}
		}
		return err
	}
	return nil
}

// startProxy writes a proxy's configuration and starts it.
func (w *world) startProxy(p *proxy, list standin.List) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	data, err := w.configOf(p, list, max(0, w.clock.Now()-w.start()))
	if err != nil {
		return err
	}
	if err := os.WriteFile(p.config, data, 0o644); err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	if err := p.start(w.clock.Now()); err != nil {
		return err
	}
	now := p.now
	w.wg.Go(func() {
		<-now.done
		p.mu.Lock()
		defer p.mu.Unlock()
		if now.life.How != "" || now.life.Term != 0 {
			return
		}
		select {
		case <-w.stopping:
			return
		default:
		}
		p.over(now, w.clock.Now(), "crashed")
		w.noteCrash(fmt.Sprintf("proxy %s ended by itself (%v): %s", proxyName(p.n), now.err, p.lastWords()))
	})
	return nil
}

// configOf is a proxy's configuration at a time of the run. Called with the proxy's lock.
func (w *world) configOf(p *proxy, list standin.List, at time.Duration) ([]byte, error) {
	seed := w.plan.Seeds[p.n]
	if n := len(p.lives); n > 0 { // new with each start, and the same in each run
		seed = newDraws(w.plan.Seed, fmt.Sprintf("proxy %d life %d", p.n, n)).id()
	}
	return json.MarshalIndent(w.scenario.config(p.n, p.addr, w.agents[p.n].Addr, seed, list, at, p.attempts), "", " ")
}

// start is when the traffic begins; before that it has not.
func (w *world) start() time.Duration {
	if at := w.began.Load(); at > 0 {
		return time.Duration(at)
	}
	return w.clock.Now()
}

func (w *world) crashed() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.crashes)
}

// restart ends a proxy and starts it again at the stated time.
func (w *world) restart(ctx context.Context, p *proxy, e Event, start time.Duration) error {
	known := w.agents[p.n].List()
	if e.Known == "start" {
		known = w.first
		known.Instances = slices.Clone(known.Instances)
		for i := range known.Instances { // under this proxy's own addresses
			known.Instances[i].HostPort = w.paths[w.index[known.Instances[i].InstanceID]][p.n].Addr
		}
	}
	p.mu.Lock()
	if p.now.ended() {
		p.mu.Unlock()
		return nil // it has crashed, which is told elsewhere
	}
	if e.What == "kill" {
		p.now.signal(os.Kill)
		p.now.life.Term = w.clock.Now() // it is no crash
		<-p.now.done
		p.over(p.now, w.clock.Now(), "killed")
		p.now.life.Term = 0
	} else {
		p.now.life.Term = w.clock.Now()
		how := "ended"
		if p.now.end(w.longest() + 700*time.Millisecond) {
			how = "too slow to end" // what it held then is lost
		}
		p.over(p.now, w.clock.Now(), how)
	}
	p.mu.Unlock()
	if e.Until == 0 {
		return nil
	}
	select {
	case <-time.After(start + e.Until - w.clock.Now()):
	case <-ctx.Done():
		return nil
	}
	return w.startProxy(p, known)
}

// longest is the longest time that a client waits.
func (w *world) longest() time.Duration {
	longest := time.Duration(0)
	for _, c := range w.scenario.Classes {
		longest = max(longest, c.GiveUp.D())
	}
	return min(longest, 3*time.Second) // which is all that the platform waits for
}

// play carries the plan's events out, at their times from start on.
func (w *world) play(ctx context.Context, start time.Duration) error {
	w.began.Store(int64(start))
	failed := make(chan error, len(w.plan.Events)+1)
	var restarts sync.WaitGroup
	defer restarts.Wait()
	for _, e := range w.plan.Events {
		select {
		case <-time.After(start + e.At - w.clock.Now()):
		case <-ctx.Done():
			return nil
		case err := <-failed:
			return err
		}
		var lasts func() error // what takes its time, beside the rest
		switch p := max(e.Proxy, 0); e.What {
		case "kill", "term":
			lasts = func() error { return w.restart(ctx, w.proxies[p], e, start) }
		case "upgrade":
			lasts = func() error { return w.upgrade(ctx, w.proxies[p]) }
		case "crowd":
			lasts = func() error { w.crowd(ctx, w.proxies[p], e, start); return nil }
		case "retune", "settings":
			lasts = func() error { return w.retune(ctx, w.proxies[p], e, start) }
		}
		if lasts != nil {
			restarts.Go(func() {
				if err := lasts(); err != nil {
					failed <- err
				}
			})
			continue
		}
		if err := w.carryOut(e); err != nil {
			return err
		}
	}
	restarts.Wait()
	select {
	case err := <-failed:
		return err
	default:
		return nil
	}
}

var harms = map[string]standin.Harm{"slow": standin.HarmSlow, "silent": standin.HarmSilent, "errors": standin.HarmErrors}

// carryOut does one event.
func (w *world) carryOut(e Event) error {
	amount := float64(e.Amount) / 1000
	if e.Proxy >= 0 {
		a := w.agents[e.Proxy]
		switch e.What {
		case "discovery-late":
			a.Late(w.plan.Late[e.Proxy] + e.By)
		case "end discovery-late":
			a.Late(w.plan.Late[e.Proxy])
		case "discovery-silent", "end discovery-silent":
			a.Silent(e.What == "discovery-silent")
		case "discovery-down", "end discovery-down":
			a.Down(e.What == "discovery-down")
		}
		return nil
	}
	if strings.Contains(e.What, "registry-") {
		w.registryFault(e)
		return nil
	}
	if e.What == "split" || e.What == "end split" {
		w.split(e)
		return nil
	}
	n := w.node(e.Node)
	switch e.What {
	case "start":
		return w.startNode(e.Node, e.Warm)
	case "list":
		if n != nil && e.Entry == "Ready" && (n.State() == "fallen" || n.State() == "dead") {
			return nil // it is down again: the list doesn't name it
		}
		w.put(w.entry(e.Node, e.Entry))
	case "die":
		n.Die()
	case "end die":
		if n.State() != "dead" {
			return nil
		}
		if err := n.Return(e.Warm); err != nil {
			return err
		}
		if !e.Warm {
			w.mu.Lock()
			w.started[n.ID()] = time.Now()
			delete(w.fallen, n.ID())
			w.mu.Unlock()
		}
	case "vanish":
		n.Vanish()
	case "end vanish":
		return n.Return(true)
	case "slow":
		n.Slow(amount)
	case "end slow":
		n.Slow(1)
	case "neighbour":
		n.Neighbour(amount)
	case "end neighbour":
		n.Neighbour(0)
	case "errors":
		n.Errors(amount)
	case "end errors":
		n.Errors(0)
	case "partial":
		n.AddPartial(fmt.Sprint(e.Fault), standin.Partial{
			Class: e.Class, Above: e.Above, Harm: harms[e.How], Rate: amount,
			Times: float64(e.Times) / 1000,
		})
	case "end partial":
		n.RemovePartial(fmt.Sprint(e.Fault))
	case "spoil":
		n.Spoils(spoils[e.How], amount)
	case "end spoil":
		n.Spoils(standin.SpoilNothing, 0)
	case "stale", "new-resets", "closes", "drops", "end stale", "end new-resets", "end closes", "end drops":
		w.network(n, e, amount)
	case "drain":
		n.Drain(true)
	case "end drain", "replace":
		n.Close()
	}
	return nil
}

// network changes what happens to a node's connections; what other faults do to them stays.
func (w *world) network(n *standin.Node, e Event, rate float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	k := w.networks[e.Node]
	idle := e.Idle
	if strings.HasPrefix(e.What, "end ") {
		rate, idle = 0, 0
	}
	switch strings.TrimPrefix(e.What, "end ") {
	case "stale":
		k.StaleAfter, k.StaleRate = idle, rate
	case "new-resets":
		k.NewRate = rate
	case "closes":
		k.CloseRate = rate
	case "drops":
		k.DropAfter = idle
	}
	w.networks[e.Node] = k
	n.Network(k)
}

// watch samples the nodes until ctx ends, and takes what fell over off the list as
// late as any dead one.
func (w *world) watch(ctx context.Context) {
	tick := time.NewTicker(250 * time.Millisecond)
	defer tick.Stop()
	notice := newDraws(w.plan.Seed, "fallen")
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for _, p := range w.proxies {
			// Held over a restart, which may take seconds: the samples don't wait for it.
			if p.mu.TryLock() {
				if !p.now.ended() {
					p.now.look()
				}
				p.mu.Unlock()
			}
		}
		for i := range w.plan.Nodes {
			n := w.node(i)
			if n == nil {
				continue
			}
			n.Sample()
			w.mu.Lock()
			fell := n.State() == "fallen" && !w.fallen[n.ID()]
			if fell {
				w.fallen[n.ID()] = true
			}
			w.mu.Unlock()
			if fell {
				d := w.scenario.Discovery
				time.AfterFunc(notice.between(d.NoticeDead[0].D(), d.NoticeDead[1].D()), func() {
					if n.State() == "fallen" {
						w.put(w.entry(i, "Gone"))
					}
				})
			}
		}
	}
}

// stopProxies ends the proxies that run, and closes their books.
func (w *world) stopProxies() {
	close(w.stopping)
	var all sync.WaitGroup
	for _, p := range w.proxies {
		all.Go(func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			if p.now == nil {
				return
			}
			if !p.now.ended() {
				p.now.end(w.longest() + 700*time.Millisecond)
			}
			p.over(p.now, w.clock.Now(), "ended")
			if p.held != nil {
				p.held.Close()
				os.RemoveAll(p.temp)
			}
			if p.log != nil {
				p.log.Close()
			}
		})
	}
	all.Wait()
	w.wg.Wait()
}

// close ends all that is left: no process, listener or goroutine stays.
func (w *world) close() {
	if w.front != nil {
		w.front.Close()
	}
	if w.mesh != nil {
		w.mesh.Close()
	}
	if w.discovery != nil {
		w.discovery.Close()
	}
	if w.enrolled != nil {
		w.enrolled.store.Close()
	}
	for _, n := range w.nodes {
		if n != nil {
			n.Close()
		}
	}
}

func (w *world) lives() []Life {
	var all []Life
	for _, p := range w.proxies {
		for _, l := range p.lives {
			all = append(all, *l)
		}
	}
	return all
}
