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

// proxyName returns a proxy's name. It stays the same over restarts.
func proxyName(n int) string { return fmt.Sprintf("n%d", n) }

// testbed holds the running nodes, discovery service, registry and proxies of a scenario.
type testbed struct {
	scenario       *Scenario
	plan           *Plan
	clock          *standin.Clock
	journal        *standin.Journal
	dir            string // folder for configurations and logs
	serveUnplanned bool   // serve requests that are not in the plan too

	discovery    *standin.Discovery
	registryList *registryList // the node list in a registry, or nil
	agents       []*standin.Agent
	initialList  standin.List // the node list at the start
	groups       map[string]*standin.Group
	demands      map[string]machine.Job
	sizes        map[string]int // answer size by class
	front        *standin.Front
	proxies      []*proxy
	mesh         *standin.Mesh // links between the proxies of a fleet, or nil
	stopping     chan struct{} // closed at the end of the run: a proxy that exits after this has not crashed

	mu           sync.Mutex
	nodes        []*standin.Node // by index in the plan; nil if not started
	paths        [][]standin.Path
	index        map[string]int       // index in the plan by node id
	coldStarts   map[string]time.Time // time of the last cold start during the run, by node id
	crashes      []string
	networks     map[int]standin.Network // by index in the plan
	overloaded   map[string]bool         // nodes that failed from overload, which watch removes from the list
	reloads      []Reload
	crowdConns   atomic.Int64 // connections opened by crowd faults
	trafficStart atomic.Int64 // start of the traffic; 0 before it
	wg           sync.WaitGroup
}

// newTestbed starts everything except the proxies. The caller must call close, also after
// an error.
func newTestbed(s *Scenario, p *Plan, clock *standin.Clock, journal *standin.Journal, dir string) (*testbed, error) {
	w := &testbed{
		scenario: s, plan: p, clock: clock, journal: journal, dir: dir, groups: map[string]*standin.Group{},
		demands: map[string]machine.Job{}, sizes: map[string]int{}, index: map[string]int{}, coldStarts: map[string]time.Time{},
		overloaded: map[string]bool{}, networks: map[int]standin.Network{}, stopping: make(chan struct{}), nodes: make([]*standin.Node, len(p.Nodes)),
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
		w.registryList = &registryList{store: store, entries: map[string]standin.Entry{}}
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
		w.updateList(w.entry(i, "Ready"))
	}
	for k := range s.Proxies.Count {
		a, err := w.discovery.Agent(k, p.Late[k], func(id string) string { return w.paths[w.index[id]][k].Addr })
		if err != nil {
			return w, err
		}
		w.agents = append(w.agents, a)
	}
	w.initialList = w.agents[0].List()
	return w, nil
}

func (w *testbed) startNode(i int, warm bool) error {
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
		ProbeWork: f.ProbeWork.D(), Group: w.groups[n.Zone], Demand: w.demand, Size: w.size, Gives: w.largeAnswerRate, Clock: w.clock, Journal: w.journal,
		Paths: w.paths[i],
	})
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nodes[i] = node
	if !warm {
		w.coldStarts[n.ID] = time.Now()
	}
	return nil
}

func (w *testbed) demand(id, class string) (machine.Job, bool) {
	j, known := w.demands[id]
	if !known && w.serveUnplanned {
		for _, c := range w.scenario.Classes {
			if c.Name == class {
				return machine.Job{Work: c.Work.D(), Wait: c.Wait.D()}, true
			}
		}
	}
	return j, known
}

func (w *testbed) size(_, class string) int {
	if n := w.sizes[class]; n > 0 {
		return n
	}
	return 512
}

// largeAnswerRate returns the rate at which nodes send a class's large answers, and whether they are chunked.
func (w *testbed) largeAnswerRate(class string) (rate int, chunked bool) {
	for _, c := range w.scenario.Classes {
		if c.Name == class {
			return c.Gives, c.Chunked
		}
	}
	return 0, false
}

// absolute returns a folder's absolute path, for processes with another working directory.
func absolute(dir string) string {
	if abs, err := filepath.Abs(dir); err == nil {
		return abs
	}
	return dir
}

func (w *testbed) entry(i int, lifecycle string) standin.Entry {
	n := w.plan.Nodes[i]
	w.mu.Lock()
	defer w.mu.Unlock()
	e := standin.Entry{InstanceID: n.ID, Zone: n.Zone, MachineType: n.Kind, Lifecycle: lifecycle, Weight: 1}
	if at, known := w.coldStarts[n.ID]; known {
		e.StartedAtMs = at.UnixMilli()
	}
	return e
}

func (w *testbed) node(i int) *standin.Node {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.nodes[i]
}

// startProxies starts all proxies and the front, and waits until the front has found every proxy ready.
func (w *testbed) startProxies(ctx context.Context, command []string, listen []string) error {
	if err := w.setUpFleet(); err != nil {
		return err
	}
	var known []standin.FrontProxy
	for k := range w.scenario.Proxies.Count {
		p := &proxy{
			n: k, command: command, config: filepath.Join(w.dir, proxyName(k)+".json"),
			logPath: filepath.Join(w.dir, proxyName(k)+".log"), useControl: w.scenario.usesControl(), attempts: w.scenario.Rules.MaxAttempts,
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
		if w.scenario.kitOwnsListeners() {
			if err := p.openListener(); err != nil {
				return err
			}
			// The path must be short: the path of a Unix socket in it is limited in length.
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
		if w.registryList != nil {
			store = w.registryList.store.URL()
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
	go func() { // stop waiting as soon as a proxy has crashed
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
			ended := p.current.ended()
			p.mu.Unlock()
			if ended {
				return fmt.Errorf("proxy %s exited during startup: %s", proxyName(p.n), p.logTail())
			}
		}
		return err
	}
	return nil
}

// startProxy writes a proxy's configuration and starts it.
func (w *testbed) startProxy(p *proxy, list standin.List) error {
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
	current := p.current
	w.wg.Go(func() {
		<-current.done
		p.mu.Lock()
		defer p.mu.Unlock()
		if current.life.How != "" || current.life.Term != 0 {
			return
		}
		select {
		case <-w.stopping:
			return
		default:
		}
		p.recordEnd(current, w.clock.Now(), "crashed")
		w.recordCrash(fmt.Sprintf("proxy %s ended by itself (%v): %s", proxyName(p.n), current.err, p.logTail()))
	})
	return nil
}

// configOf returns a proxy's configuration at the given time of the run. The caller holds the proxy's lock.
func (w *testbed) configOf(p *proxy, list standin.List, at time.Duration) ([]byte, error) {
	seed := w.plan.Seeds[p.n]
	if n := len(p.lifetimes); n > 0 { // a new seed for each start, reproducible between runs
		seed = newRandomStream(w.plan.Seed, fmt.Sprintf("proxy %d life %d", p.n, n)).id()
	}
	return json.MarshalIndent(w.scenario.config(p.n, p.addr, w.agents[p.n].Addr, seed, list, at, p.attempts), "", " ")
}

// start returns the time at which the traffic began, or the current time if it has not begun yet.
func (w *testbed) start() time.Duration {
	if at := w.trafficStart.Load(); at > 0 {
		return time.Duration(at)
	}
	return w.clock.Now()
}

func (w *testbed) crashed() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.crashes)
}

// restart ends a proxy, and starts it again at the time that the event gives.
func (w *testbed) restart(ctx context.Context, p *proxy, e Event, start time.Duration) error {
	known := w.agents[p.n].List()
	if e.Known == "start" {
		known = w.initialList
		known.Instances = slices.Clone(known.Instances)
		for i := range known.Instances { // use the addresses at which this proxy reaches the nodes
			known.Instances[i].HostPort = w.paths[w.index[known.Instances[i].InstanceID]][p.n].Addr
		}
	}
	p.mu.Lock()
	if p.current.ended() {
		p.mu.Unlock()
		return nil // it has crashed, which startProxy has recorded
	}
	if e.What == "kill" {
		p.current.signal(os.Kill)
		p.current.life.Term = w.clock.Now() // so that startProxy doesn't record it as a crash
		<-p.current.done
		p.recordEnd(p.current, w.clock.Now(), "killed")
		p.current.life.Term = 0
	} else {
		p.current.life.Term = w.clock.Now()
		how := "ended"
		if p.current.terminate(w.longest() + 700*time.Millisecond) {
			how = "too slow to end" // its requests in flight are lost
		}
		p.recordEnd(p.current, w.clock.Now(), how)
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

// longest returns the longest give-up time of a class, up to 3 s.
func (w *testbed) longest() time.Duration {
	longest := time.Duration(0)
	for _, c := range w.scenario.Classes {
		longest = max(longest, c.GiveUp.D())
	}
	return min(longest, 3*time.Second) // the platform waits no longer for a proxy to exit
}

// play executes the plan's events at their times, relative to start.
func (w *testbed) play(ctx context.Context, start time.Duration) error {
	w.trafficStart.Store(int64(start))
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
		var lasts func() error // an event that takes time and runs concurrently with the others
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
		if err := w.apply(e); err != nil {
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

// apply executes an event that takes no time.
func (w *testbed) apply(e Event) error {
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
			return nil // it is down again and must stay off the list
		}
		w.updateList(w.entry(e.Node, e.Entry))
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
			w.coldStarts[n.ID()] = time.Now()
			delete(w.overloaded, n.ID())
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

// network applies a connection fault to a node, and keeps the connection faults of other kinds.
func (w *testbed) network(n *standin.Node, e Event, rate float64) {
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

// watch samples the nodes until ctx ends. It removes nodes that failed from overload from the list, with the same
// delay as other nodes whose process has ended.
func (w *testbed) watch(ctx context.Context) {
	tick := time.NewTicker(250 * time.Millisecond)
	defer tick.Stop()
	notice := newRandomStream(w.plan.Seed, "fallen")
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for _, p := range w.proxies {
			// The lock is held during a restart, which may take seconds: skip the proxy instead of waiting.
			if p.mu.TryLock() {
				if !p.current.ended() {
					p.current.updatePeakMemory()
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
			fell := n.State() == "fallen" && !w.overloaded[n.ID()]
			if fell {
				w.overloaded[n.ID()] = true
			}
			w.mu.Unlock()
			if fell {
				d := w.scenario.Discovery
				time.AfterFunc(notice.duration(d.NoticeDead[0].D(), d.NoticeDead[1].D()), func() {
					if n.State() == "fallen" {
						w.updateList(w.entry(i, "Gone"))
					}
				})
			}
		}
	}
}

// stopProxies terminates the running proxies and records their end.
func (w *testbed) stopProxies() {
	close(w.stopping)
	var all sync.WaitGroup
	for _, p := range w.proxies {
		all.Go(func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			if p.current == nil {
				return
			}
			if !p.current.ended() {
				p.current.terminate(w.longest() + 700*time.Millisecond)
			}
			p.recordEnd(p.current, w.clock.Now(), "ended")
			if p.listener != nil {
				p.listener.Close()
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

// close stops everything except the proxies: no listener or goroutine is left.
func (w *testbed) close() {
	if w.front != nil {
		w.front.Close()
	}
	if w.mesh != nil {
		w.mesh.Close()
	}
	if w.discovery != nil {
		w.discovery.Close()
	}
	if w.registryList != nil {
		w.registryList.store.Close()
	}
	for _, n := range w.nodes {
		if n != nil {
			n.Close()
		}
	}
}

func (w *testbed) lifetimes() []Life {
	var all []Life
	for _, p := range w.proxies {
		for _, l := range p.lifetimes {
			all = append(all, *l)
		}
	}
	return all
}
