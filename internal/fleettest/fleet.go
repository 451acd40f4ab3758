//go:build linux

// Package fleettest starts a fleet of the built program on loopback addresses, with clients, backend nodes, service
// discovery and a simulated link between every two proxies. It injects faults into links (cut one way or both, slow,
// lossy, duplicating), processes (stopped, killed, restarted with another disk) and disks (full, set back to an older
// state).
//
// It waits for processes by their readiness and never by sleeping. An auditor (audit.go) that shares no code with the
// proxy compares the requests that the nodes received with the settings that each process traced as in force. The
// package owns the processes, links and folders that it creates. It does not judge the results: tests and the auditor
// do.
package fleettest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"marlreel/internal/standin"
	"marlreel/internal/standin/machine"
)

// Patience is the time limit for readiness and other expected events. It is generous and says nothing about speed.
const Patience = 30 * time.Second

// Class is a request class in a fleet's settings.
type Class struct {
	Name, Effect string        // retryable, dedup, fragile
	GiveUp       time.Duration // also used as the latency aim
}

// Settings are the part of a proxy's settings file that tests vary.
type Settings struct {
	Attempts int
	Classes  []Class
}

// Usual returns settings with one class of each effect.
func Usual() Settings {
	return Settings{Attempts: 4, Classes: []Class{
		{"lot-list", "retryable", 2 * time.Second},
		{"bid", "fragile", 2 * time.Second},
		{"pickup", "dedup", 2 * time.Second},
	}}
}

// With returns a copy with a class replaced or added.
func (s Settings) With(c Class) Settings {
	next := s.Without(c.Name)
	for i, x := range s.Classes {
		if x.Name == c.Name {
			next.Classes = append(next.Classes[:i:i], append([]Class{c}, next.Classes[i:]...)...)
			return next
		}
	}
	next.Classes = append(next.Classes, c)
	return next
}

// Without returns a copy without a class.
func (s Settings) Without(name string) Settings {
	next := Settings{Attempts: s.Attempts}
	for _, c := range s.Classes {
		if c.Name != name {
			next.Classes = append(next.Classes, c)
		}
	}
	return next
}

// Try returns a copy with another number of attempts.
func (s Settings) Try(attempts int) Settings {
	s.Attempts = attempts
	return s
}

// object returns the settings in the format of the platform's file, for the proxy with a rank.
func (s Settings) object(rank, of int) map[string]any {
	services := []any{}
	for _, c := range s.Classes {
		ms := float64(c.GiveUp) / 1e6
		services = append(services, map[string]any{"Name": c.Name, "Aim": ms, "GiveUp": ms, "Effect": c.Effect, "Group": "zone", "Window": 10000.0, "Value": 1.0})
	}
	return map[string]any{
		"Balancers": of, "Rank": rank, "Zone": 0, "Tick": 5.0, "Discovery": "pushed", "FailureDomains": []string{"koper"}, "Kinds": []string{"mid-2c"},
		"Feedback": map[string]any{"How": "off", "Names": []string{}},
		"Caps": map[string]any{
			"Cancel": true, "ConnIdle": 60000.0, "ConnectTimeout": 300.0, "MaxAttempts": s.Attempts, "MaxOpen": 20000, "MaxRetryAfter": 2000.0, "Probes": false,
			"RetryAfter": true, "SecondCopies": false, "StreamsPerConn": 1,
		},
		"Obligations": map[string]any{"AnswerSlack": 20.0, "Cold": 5000.0, "DrainGrace": 500.0, "Fall": 3000.0, "FallMultiple": 2.5, "StartCapacity": 0.32},
		"Services":    services, "Tenants": []any{map[string]any{"Name": "obala", "Share": 1.0, "QuotaPerS": 10000.0}},
	}
}

// Text encodes settings as the text of a proposal, without the fields that differ between proxies.
func (f *Fleet) Text(s Settings) []byte {
	o := s.object(0, f.Options.Proxies)
	delete(o, "Rank")
	delete(o, "Zone")
	text, _ := json.Marshal(o) // maps of plain values always marshal
	return text
}

// Options configure a fleet.
type Options struct {
	Program  string // the built daemon
	Dir      string
	Proxies  int
	Nodes    int
	Settings Settings
	Errors   float64       // share of requests that nodes run and then answer with an error
	Keepers  int           // the first proxies keep the replicated log; 0: no fleet, each proxy on its own
	Within   time.Duration // the setting agree-within
	Key      []byte        // nil: a default key
	Seed     uint64
	Direct   bool // no simulated links: for fleets too large to have one for each pair
	Hold     bool // the harness owns the client listeners, as a platform with zero-downtime upgrades does
}

// Fleet is a fleet and its environment.
type Fleet struct {
	Options
	Clock     *standin.Clock
	Journal   *standin.Journal
	Discovery *standin.Discovery
	Nodes     []*standin.Node
	Proxies   []*Proxy
	*standin.Mesh
	paths          [][]standin.Path // by node, then proxy
	mu             sync.Mutex
	notes          []Note
	puts           []put
	load           *load
	texts          []Settings // all settings that were ever proposed or written to a file
	log            register
	proposedByFile bool // settings were proposed through files, whose outcome is not in log
}

// put is a change of a node's state in service discovery.
type put struct {
	at          time.Duration
	node, state string
}

// Note is an action of the harness and its time.
type Note struct {
	At   time.Duration
	What string
}

// Note records an action at the current time and returns that time.
func (f *Fleet) Note(format string, args ...any) time.Duration {
	at := f.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.notes = append(f.notes, Note{at, fmt.Sprintf(format, args...)})
	return at
}

// Notes returns a copy of all notes.
func (f *Fleet) Notes() []Note {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]Note(nil), f.notes...)
}

// Proxy is one proxy with all processes that ran for it.
type Proxy struct {
	N            int
	Name         string
	Listen, Door string
	fleet        *Fleet
	fleetAddr    string
	settings     Settings
	Disk         string // its data folder
	trace        *tap   // collects its trace of the versions in force and the attempts
	agent        *standin.Agent
	cmd          *exec.Cmd
	ended        chan struct{}
	log          *os.File
	mu           sync.Mutex
	away         []Span // when it was stopped or not running
	closed       []Span // while it shut down and accepted no new connections
	deaths       []time.Duration
	Starts       int
	held         *os.File // the client listener; nil: each process opens its own
}

// Span is a period of a run. To 0 means that it has not ended.
type Span struct{ From, To time.Duration }

// New creates a fleet's nodes, discovery, links and files. It starts no proxy.
func New(o Options) (*Fleet, error) {
	f := &Fleet{Options: o, Clock: standin.NewClock(), Journal: &standin.Journal{}}
	f.Discovery = standin.NewDiscovery(f.Clock, f.Journal)
	if f.Key == nil {
		f.Key = bytes.Repeat([]byte{7}, 32)
	}
	group := standin.NewGroup(10 * time.Second)
	for i := range o.Nodes {
		var paths []standin.Path
		for k := range o.Proxies {
			addr, err := standin.Address()
			if err != nil {
				return f, err
			}
			paths = append(paths, standin.Path{Addr: addr, Proxy: k})
		}
		n, err := standin.StartNode(standin.NodeConfig{
			ID: fmt.Sprintf("s-%d", i), Zone: "koper", Kind: "mid-2c", Warm: true,
			Machine: machine.Config{Cores: 16, Speed: 1, Slots: 256, Queue: 1024}, Group: group, Clock: f.Clock, Journal: f.Journal, Paths: paths,
		})
		if err != nil {
			return f, err
		}
		n.Errors(o.Errors)
		f.Nodes, f.paths = append(f.Nodes, n), append(f.paths, paths)
		f.Discovery.Put(f.entry(i, "Ready"))
	}
	for k := range o.Proxies {
		p := &Proxy{N: k, Name: fmt.Sprintf("n%d", k), fleet: f, settings: o.Settings, Disk: filepath.Join(o.Dir, fmt.Sprintf("disk-%d", k))}
		var err error
		if p.trace, err = newTap(filepath.Join(o.Dir, fmt.Sprintf("trace-%d", k))); err != nil {
			return f, err
		}
		for _, addr := range []*string{&p.Listen, &p.Door, &p.fleetAddr} {
			if *addr, err = standin.Address(); err != nil {
				return f, err
			}
		}
		if p.agent, err = f.Discovery.Agent(k, 0, func(id string) string {
			var i int
			fmt.Sscanf(id, "s-%d", &i)
			return f.paths[i][k].Addr
		}); err != nil {
			return f, err
		}
		if o.Hold {
			ln, err := net.Listen("tcp", p.Listen)
			if err != nil {
				return f, err
			}
			if p.held, err = ln.(*net.TCPListener).File(); err != nil {
				return f, err
			}
			ln.Close()
		}
		if p.log, err = os.Create(filepath.Join(o.Dir, fmt.Sprintf("log-%d", k))); err != nil {
			return f, err
		}
		if err := os.MkdirAll(p.Disk, 0o700); err != nil {
			return f, err
		}
		f.Proxies = append(f.Proxies, p)
	}
	if o.Keepers > 0 {
		var targets []string
		for _, p := range f.Proxies {
			targets = append(targets, p.fleetAddr)
		}
		var err error
		if !o.Direct {
			if f.Mesh, err = standin.NewMesh(targets, o.Seed); err != nil {
				return f, err
			}
		}
		if err := os.WriteFile(filepath.Join(o.Dir, "key"), f.Key, 0o600); err != nil {
			return f, err
		}
	}
	for _, p := range f.Proxies {
		if err := p.WriteFile(o.Settings); err != nil {
			return f, err
		}
		if err := p.writeOwn(); err != nil {
			return f, err
		}
	}
	return f, nil
}

func (f *Fleet) entry(i int, state string) standin.Entry {
	return standin.Entry{InstanceID: fmt.Sprintf("s-%d", i), Zone: "koper", MachineType: "mid-2c", Lifecycle: state, Weight: 1}
}

// Put sets the state of a node in service discovery: Ready, Terminating or Gone.
func (f *Fleet) Put(node int, state string) time.Duration {
	at := f.Note("s-%d is %s", node, state)
	f.mu.Lock()
	f.puts = append(f.puts, put{at, fmt.Sprint("s-", node), state})
	f.mu.Unlock()
	f.Discovery.Put(f.entry(node, state))
	return at
}

// Late delays the discovery updates of a proxy from now on.
func (p *Proxy) Late(by time.Duration) { p.agent.Late(by) }

func (p *Proxy) path(what string) string {
	return filepath.Join(p.fleet.Dir, fmt.Sprintf("%s-%d", what, p.N))
}

// WriteFile atomically replaces the proxy's settings file. The process reads it at SIGHUP.
func (p *Proxy) WriteFile(s Settings) error {
	p.settings = s
	text, err := json.Marshal(map[string]any{
		"name": p.Name, "listen": p.Listen, "discovery": p.agent.Addr, "control": p.Door, "seed": fmt.Sprintf("%x", p.fleet.Seed*1000+uint64(p.N)+1),
		"limits": map[string]any{"memory_mb": 64, "sockets": 512}, "settings": s.object(p.N, p.fleet.Options.Proxies),
	})
	if err != nil {
		return err
	}
	return p.replace("config", text)
}

// WriteRaw atomically replaces the proxy's settings file with any text.
func (p *Proxy) WriteRaw(text string) error { return p.replace("config", []byte(text)) }

func (p *Proxy) replace(what string, text []byte) error {
	if err := os.WriteFile(p.path(what)+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(p.path(what)+".new", p.path(what))
}

// writeOwn writes the operator's settings file, which configures the fleet.
func (p *Proxy) writeOwn() error {
	f := p.fleet
	if f.Keepers == 0 {
		return p.replace("own", nil)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "[fleet]\nname = \"pier\"\nlisten = %q\nkey-file = %q\nagree-within = %q\ndir = %q\ntrace = %q\nkeepers = [", p.fleetAddr, filepath.Join(f.Dir, "key"), f.Within, p.Disk, p.trace.path)
	for k := range f.Keepers {
		fmt.Fprintf(&b, "%q, ", fmt.Sprintf("n%d", k))
	}
	b.WriteString("]\n")
	for j, q := range f.Proxies {
		fmt.Fprintf(&b, "[[fleet.peers]]\nname = %q\naddress = %q\n", q.Name, f.peerAddr(p.N, j))
	}
	return p.replace("own", []byte(b.String()))
}

// peerAddr returns the address at which one proxy reaches another.
func (f *Fleet) peerAddr(from, to int) string {
	if f.Mesh == nil {
		return f.Proxies[to].fleetAddr
	}
	return f.Addr(from, to)
}

// Start starts a process of the proxy and does not wait until it is ready.
func (p *Proxy) Start() error {
	cmd := exec.Command(p.fleet.Program, "--config", p.path("own"))
	cmd.Env = append(os.Environ(), "NODE_CONFIG="+p.path("config"), "NODE_NAME=", "NODE_LISTEN=", "NODE_DISCOVERY=", "NODE_CONTROL=", "NODE_SOCKET_FD=", "TMPDIR="+p.Disk)
	if p.held != nil {
		cmd.ExtraFiles = []*os.File{p.held} // descriptor 3
		cmd.Env = append(cmd.Env, "NODE_SOCKET_FD=3", "NODE_CONTROL="+p.Door)
	}
	// plainWriter makes exec use a pipe, so that the RLIMIT_FSIZE of the disk-full fault does not limit the log.
	cmd.Stdout, cmd.Stderr = plainWriter{p.log}, plainWriter{p.log}
	// Its own process group keeps a hang-up of the terminal from reaching it as SIGHUP. Pdeathsig kills it if the test is
	// killed; it fires when the starting thread ends, so the goroutine below keeps that thread until the process ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	p.mu.Lock()
	defer p.mu.Unlock()
	started, ended := make(chan error, 1), make(chan struct{})
	go func() {
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
		err := cmd.Start()
		started <- err
		if err == nil {
			cmd.Wait()
			p.recordExit(cmd)
			close(ended)
		}
	}()
	if err := <-started; err != nil {
		return fmt.Errorf("starting %s: %w", p.Name, err)
	}
	p.Starts++
	p.cmd, p.ended = cmd, ended
	return nil
}

// recordExit records that a process has ended.
func (p *Proxy) recordExit(cmd *exec.Cmd) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == cmd {
		p.begin()
		p.deaths = append(p.deaths, p.fleet.Clock.Now())
	}
}

// died reports whether the proxy's current process ended after from and no later than to.
func (p *Proxy) died(from, to time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.deaths, func(at time.Duration) bool { return from < at && at <= to })
}

// begin and finish bound a period in which the proxy is away. The caller holds p.mu.
func (p *Proxy) begin() {
	if n := len(p.away); n == 0 || p.away[n-1].To != 0 {
		p.away = append(p.away, Span{From: p.fleet.Clock.Now()})
	}
}

func (p *Proxy) finish() {
	if n := len(p.away); n > 0 && p.away[n-1].To == 0 {
		p.away[n-1].To = p.fleet.Clock.Now()
	}
}

// Away reports whether the proxy was stopped or not running at any time from from to to.
func (p *Proxy) Away(from, to time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.away {
		if s.From <= to && (s.To == 0 || s.To >= from) {
			return true
		}
	}
	return false
}

// Ready waits until the process reports that it is ready.
func (p *Proxy) Ready() error {
	for until := time.Now().Add(Patience); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		if status, _, err := p.Ask("/control/ready"); err == nil && status == http.StatusOK {
			p.mu.Lock()
			p.finish()
			p.mu.Unlock()
			return nil
		}
		select {
		case <-p.ended:
			return fmt.Errorf("%s exited before it was ready:\n%s", p.Name, p.Log())
		default:
		}
	}
	return fmt.Errorf("%s did not become ready in time:\n%s", p.Name, p.Log())
}

// StartAll starts all proxies and waits until they are ready.
func (f *Fleet) StartAll() error {
	for _, p := range f.Proxies {
		if err := p.Start(); err != nil {
			return err
		}
	}
	for _, p := range f.Proxies {
		if err := p.Ready(); err != nil {
			return err
		}
	}
	return nil
}

var doorClient = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// Ask sends a GET request to the proxy's control address.
func (p *Proxy) Ask(path string) (int, []byte, error) {
	resp, err := doorClient.Get("http://" + p.Door + path)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, body, err
}

// Post sends a POST request with a JSON body to the proxy's control address.
func (p *Proxy) Post(path string, text []byte) (int, []byte, error) {
	resp, err := doorClient.Post("http://"+p.Door+path, "application/json", bytes.NewReader(text))
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, body, err
}

// Log returns the output of all its processes.
func (p *Proxy) Log() string {
	data, err := os.ReadFile(p.log.Name())
	if err != nil {
		return err.Error()
	}
	return string(data)
}

// Signal sends a signal to the process.
func (p *Proxy) Signal(s syscall.Signal) {
	p.fleet.Note("%v to %s", s, p.Name)
	p.cmd.Process.Signal(s)
}

// Hangup makes it reload its files.
func (p *Proxy) Hangup() { p.Signal(syscall.SIGHUP) }

// Stop suspends its process with SIGSTOP until Continue.
func (p *Proxy) Stop() {
	p.mu.Lock()
	p.begin()
	p.mu.Unlock()
	p.Signal(syscall.SIGSTOP)
}

// Continue resumes a process that Stop suspended.
func (p *Proxy) Continue() {
	p.Signal(syscall.SIGCONT)
	p.mu.Lock()
	p.finish()
	p.mu.Unlock()
}

// Kill kills its process and waits for its end. The proxy counts as away from the signal on: the system resets the
// connections in the backlog of the killed process before the harness sees the exit.
func (p *Proxy) Kill() {
	p.mu.Lock()
	p.begin()
	p.mu.Unlock()
	p.Signal(syscall.SIGKILL)
	<-p.ended
}

// acceptsFor is how long a proxy must accept new connections after SIGTERM, as on the platform; later ones it may refuse.
const acceptsFor = 400 * time.Millisecond

// Term sends SIGTERM and waits for its end; it kills a process that is still running after Patience.
func (p *Proxy) Term() {
	from := p.fleet.Clock.Now() + acceptsFor
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.ended:
	case <-time.After(Patience):
		p.Kill()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = append(p.closed, Span{From: from, To: p.fleet.Clock.Now()})
}

// Closed reports whether the proxy was shutting down at a time and accepted no new connections.
func (p *Proxy) Closed(at time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.closed, func(s Span) bool { return s.From <= at && at <= s.To })
}

// KeepDisk saves a copy of the proxy's disk, for SetDisk. Its process must be suspended or not running.
func (p *Proxy) KeepDisk(as string) error {
	data, err := os.ReadFile(filepath.Join(p.Disk, "fleet.db"))
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(p.fleet.Dir, as), data, 0o600)
}

// SetDisk replaces the disk of a proxy that is not running with a copy that KeepDisk saved, or with an empty one for "".
func (p *Proxy) SetDisk(from string) error {
	if err := os.RemoveAll(p.Disk); err != nil {
		return err
	}
	if err := os.MkdirAll(p.Disk, 0o700); err != nil || from == "" {
		return err
	}
	data, err := os.ReadFile(filepath.Join(p.fleet.Dir, from))
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(p.Disk, "fleet.db"), data, 0o600)
}

// Upgrade starts a second process of the proxy and terminates the first one when the second is ready.
func (p *Proxy) Upgrade() error {
	p.fleet.Note("%s is upgraded", p.Name)
	old, oldEnded := p.cmd, p.ended
	door, err := standin.Address()
	if err != nil {
		return err
	}
	p.Door = door
	if err := p.Start(); err != nil {
		return err
	}
	if err := p.Ready(); err != nil {
		return err
	}
	old.Process.Signal(syscall.SIGTERM)
	select {
	case <-oldEnded:
		return nil
	case <-time.After(Patience):
		old.Process.Kill()
		return fmt.Errorf("%s: the old process did not exit in time after SIGTERM", p.Name)
	}
}

// Close stops the load, all processes, links, discovery and nodes.
func (f *Fleet) Close() {
	if f.load != nil {
		f.load.stop()
	}
	for _, p := range f.Proxies {
		if p.cmd != nil {
			p.cmd.Process.Signal(syscall.SIGKILL)
			<-p.ended
		}
		if p.log != nil {
			p.log.Close()
		}
		if p.held != nil {
			p.held.Close()
		}
		p.trace.close()
	}
	if f.Mesh != nil {
		f.Mesh.Close()
	}
	f.Discovery.Close()
	for _, n := range f.Nodes {
		n.Close()
	}
}

// plainWriter hides that a writer is a file, so that exec copies to it through a pipe.
type plainWriter struct{ io.Writer }

// tap is a named pipe whose content is kept in memory, so that a process with a full disk can still write its trace.
type tap struct {
	path string
	pipe *os.File
	mu   sync.Mutex
	text []byte
	done chan struct{}
}

const tapEnd = "{\"end\":true}\n"

func newTap(path string) (*tap, error) {
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		return nil, err
	}
	pipe, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		return nil, err
	}
	t := &tap{path: path, pipe: pipe, done: make(chan struct{})}
	go func() {
		defer close(t.done)
		buf := make([]byte, 64<<10)
		for {
			n, err := pipe.Read(buf)
			t.mu.Lock()
			t.text = append(t.text, buf[:n]...)
			t.mu.Unlock()
			if err != nil {
				return
			}
		}
	}()
	return t, nil
}

// read returns everything that has been written so far. It writes tapEnd and waits until that arrives.
func (t *tap) read() ([]byte, error) {
	if _, err := t.pipe.WriteString(tapEnd); err != nil {
		return nil, err
	}
	for until := time.Now().Add(Patience); time.Now().Before(until); time.Sleep(2 * time.Millisecond) {
		t.mu.Lock()
		text := t.text
		t.mu.Unlock()
		if bytes.HasSuffix(text, []byte(tapEnd)) || bytes.Contains(text, []byte(tapEnd)) {
			return text, nil
		}
	}
	return nil, fmt.Errorf("%s: timed out waiting for the end marker of the trace", t.path)
}

func (t *tap) close() {
	t.pipe.Close()
	<-t.done
}

// Split cuts all links between the sides.
func (f *Fleet) Split(sides ...[]int) {
	f.Note("split %v", sides)
	f.Mesh.Split(sides...)
}

// Heal removes all faults from the links.
func (f *Fleet) Heal() {
	f.Note("healed")
	f.Mesh.Heal()
}

// Use returns the CPU seconds that a proxy's process has used so far, and its private memory in megabytes.
func (p *Proxy) Use() (cpu, private float64) {
	pid := p.cmd.Process.Pid
	if text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid)); err == nil {
		fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
		if len(fields) > 12 {
			var user, system float64
			fmt.Sscan(fields[11], &user)
			fmt.Sscan(fields[12], &system)
			cpu = (user + system) / 100 // /proc counts in ticks, 100 per second
		}
	}
	if text, err := os.ReadFile(fmt.Sprintf("/proc/%d/smaps_rollup", pid)); err == nil {
		for line := range strings.Lines(string(text)) {
			var kb float64
			if strings.HasPrefix(line, "Private_") {
				fmt.Sscan(strings.Fields(line)[1], &kb)
				if strings.HasPrefix(line, "Private_Dirty") {
					private += kb / 1024
				}
			}
		}
	}
	return cpu, private
}

// Build builds the daemon into a folder and returns the path of the program.
func Build(dir string) (string, error) {
	to := filepath.Join(dir, "marlreel")
	out, err := exec.Command("go", "build", "-o", to, "marlreel/cmd/marlreel").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("building the daemon: %w\n%s", err, out)
	}
	return to, nil
}
