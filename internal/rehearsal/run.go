package rehearsal

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"marlreel/internal/standin"
)

// Options configures a run.
type Options struct {
	Seed     uint64
	Command  []string       // command of a proxy, which reads its configuration from $NODE_CONFIG
	Name     string         // name of the measured proxy, for the report
	Out      string         // folder for logs and configurations of the proxies; "": a temporary one
	Progress func(Progress) // called once a second and when the phase changes; may be nil
}

// Progress is the state of a run.
type Progress struct {
	Phase         string // starting, playing, ending
	At, Length    time.Duration
	Asked, Served float64 // worth
	Nodes         int     // nodes that are up, including cold ones
	Proxies       int     // proxies that the front considers available
	Requests      int
}

// maxGeneratorDelay is the highest 99th percentile of the load generator's delay. If it is exceeded, the machine
// was too slow, and the run is void: its results say nothing about the proxies.
const maxGeneratorDelay = 25 * time.Millisecond

// ErrDescriptors is returned if the limit of file descriptors is too low for a scenario.
var ErrDescriptors = errors.New("too few file descriptors")

// descriptorsNeeded estimates the number of file descriptors that a scenario needs in this process: listeners and
// connections of the nodes, and the connections of clients and crowds.
func (s *Scenario) descriptorsNeeded() int {
	nodes := 0
	for _, k := range s.Fleet.Nodes {
		nodes += k.Count
	}
	perNode := min(s.Fleet.Connections, 60)
	if perNode == 0 {
		perNode = 60
	}
	crowds := 0
	for _, f := range s.Faults {
		if n := len(f.Proxies); n > 0 {
			crowds += f.Connections * n
		} else {
			crowds += f.Connections * s.Proxies.Count
		}
	}
	return nodes*(s.Proxies.Count+perNode) + int(s.Traffic.Rate) + s.Traffic.Users.Count + crowds + 100
}

// Run plays a scenario and returns its report. Everything that it started has stopped when it
// returns, also after an error or when ctx ends early.
func Run(ctx context.Context, s *Scenario, o Options) (*Report, error) {
	if have := descriptors(); have > 0 && have < s.descriptorsNeeded() {
		return nil, fmt.Errorf("%w: %s needs about %d, and the limit of this process is %d (ulimit -n)", ErrDescriptors, s.Name, s.descriptorsNeeded(), have)
	}
	dir := o.Out
	if dir == "" {
		tmp, err := os.MkdirTemp("", "rehearse-")
		if err != nil {
			return nil, err
		}
		defer os.RemoveAll(tmp)
		dir = tmp
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	for k := range s.Proxies.Count { // a log covers all processes of a run, but not several runs
		os.Remove(filepath.Join(dir, proxyName(k)+".log"))
	}
	if old, err := filepath.Glob(filepath.Join(dir, "*.memory")); err == nil { // stored state isn't kept over runs either
		for _, path := range old {
			os.Remove(path)
		}
	}
	plan := Draw(s, o.Seed)
	clock, journal := standin.NewClock(), &standin.Journal{}
	began := ownUsage()
	w, err := newTestbed(s, plan, clock, journal, dir)
	defer w.close()
	if err != nil {
		return nil, err
	}
	tell := func(p Progress) {
		if o.Progress != nil {
			o.Progress(p)
		}
	}
	tell(Progress{Phase: "starting", Length: plan.Length})
	stop := func() { w.stopProxies() }
	defer func() { stop() }()
	if err := w.startProxies(ctx, o.Command, nil); err != nil {
		return nil, fmt.Errorf("%s: %w", s.Name, err)
	}
	start := clock.Now() + 100*time.Millisecond
	load := newClients(s, plan, clock, w.front)
	defer load.close()
	playing, over := context.WithCancel(ctx)
	defer over()
	watched := make(chan struct{})
	go func() { defer close(watched); w.watch(playing) }()
	events := make(chan error, 1)
	go func() { events <- w.play(playing, start) }()
	loaded := make(chan struct{})
	go func() { defer close(loaded); load.play(playing, start) }()
	for tick := time.NewTicker(time.Second); ; {
		var ended bool
		select {
		case <-loaded:
			ended = true
		case <-tick.C:
		}
		tell(w.progress(load, clock.Now()-start))
		if ended {
			tick.Stop()
			break
		}
	}
	// Wait for late effects: attempts that a proxy still makes for a finished request.
	select {
	case <-time.After(300 * time.Millisecond):
	case <-ctx.Done():
	}
	over()
	err = <-events
	<-watched
	tell(Progress{Phase: "ending", At: plan.Length, Length: plan.Length})
	stop = func() {}
	w.stopProxies()
	load.close()
	if err == nil && ctx.Err() != nil {
		err = context.Cause(ctx)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", s.Name, err)
	}
	executed, tries := plan, load.records()
	if s.Traffic.closed() {
		executed, tries = plan.asPlayed(s, load.began, tries)
	}
	records := Records{Scenario: s, Plan: executed, Tries: tries, Nodes: journal.Records(), Lives: w.lifetimes(), Reloads: w.reloads}
	return w.report(records, o, start, load, began), nil
}

func (w *testbed) progress(l *clients, at time.Duration) Progress {
	p := Progress{Phase: "playing", At: max(at, 0), Length: w.plan.Length}
	l.mu.Lock()
	p.Asked, p.Served, p.Requests = l.asked, l.served, len(l.tries)
	l.mu.Unlock()
	for i := range w.plan.Nodes {
		if n := w.node(i); n != nil && !slices.Contains([]string{"dead", "fallen", "vanished"}, n.State()) {
			p.Nodes++
		}
	}
	for i := range w.proxies {
		if w.front.Has(i) {
			p.Proxies++
		}
	}
	return p
}
