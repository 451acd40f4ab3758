//go:build linux

// Package fleettest starts a fleet of the built program on loopback addresses, with clients before it, nodes and
// lists behind it, and itself between every two proxies, and lets parts of it fail: links (cut one way or both,
// slow, losing, repeating), processes (stopped, killed, started again with another disk), disks (full, older).
//
// It knows a process by its signals of readiness and never by sleeping, and an auditor (audit.go) that shares no
// code with the proxy holds what the nodes got against what each process says it went by. It owns the processes,
// links and folders that it makes. It never decides what is right: tests and the auditor do.
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

// Patience is how long a signal of readiness may take. It is no measure of speed.
const Patience = 30 * time.Second

// Class is a class of requests in a fleet's settings.
type Class struct {
	Name, Effect string        // retryable, dedup, fragile
	GiveUp       time.Duration // and aim
}

// Settings are what a file of the fleet says.
type Settings struct {
	Attempts int
	Classes  []Class
}

// Usual are settings with a class of each effect.
func Usual() Settings {
	return Settings{Attempts: 4, Classes: []Class{
		{"lot-list", "retryable", 2 * time.Second},
		{"bid", "fragile", 2 * time.Second},
		{"pickup", "dedup", 2 * time.Second},
	}}
}

// With is the same with a class changed, or one more.
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

// Without is the same but for a class.
func (s Settings) Without(name string) Settings {
	next := Settings{Attempts: s.Attempts}
	for _, c := range s.Classes {
		if c.Name != name {
			next.Classes = append(next.Classes, c)
		}
	}
	return next
}

// Try is the same with another number of attempts.
func (s Settings) Try(attempts int) Settings {
	s.Attempts = attempts
	return s
}

// object is the form of the platform's file, for one proxy of many.
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

// Text is what settings come to as the text of a proposal, without what differs from proxy to proxy.
func (f *Fleet) Text(s Settings) []byte {
	o := s.object(0, f.Options.Proxies)
	delete(o, "Rank")
	delete(o, "Zone")
	text, _ := json.Marshal(o) // maps and numbers
	return text
}

// Options say what fleet to start.
type Options struct {
	Program  string // the built daemon
	Dir      string
	Proxies  int
	Nodes    int
	Settings Settings
	Errors   float64       // share of requests that nodes answer with an error after they have run
	Keepers  int           // 0: the proxies know nothing of one another
	Within   time.Duration // agree-within
	Key      []byte        // nil: one that all share
	Seed     uint64
	Direct   bool // no links between the proxies: for fleets too large for one each
	Hold     bool // the harness holds the clients\' listeners, as a platform that upgrades without a break does
}

// Fleet is what runs.
type Fleet struct {
	Options
	Clock     *standin.Clock
	Journal   *standin.Journal
	Discovery *standin.Discovery
	Nodes     []*standin.Node
	Proxies   []*Proxy
	*standin.Mesh
	paths [][]standin.Path // by node and proxy
	mu    sync.Mutex
	notes []Note
	puts  []put
	load  *load
	texts []Settings // all that were ever put to the fleet
	log   register
	filed bool // files were put to the fleet, whose answers nobody wrote down
}

// put is what the lists' truth says of a node from a time on.
type put struct {
	at          time.Duration
	node, state string
}

// Note is what the harness did to the fleet, and when.
type Note struct {
	At   time.Duration
	What string
}

// Note writes down that something is done now.
func (f *Fleet) Note(format string, args ...any) time.Duration {
	at := f.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.notes = append(f.notes, Note{at, fmt.Sprintf(format, args...)})
	return at
}

// Notes are all notes.
func (f *Fleet) Notes() []Note {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]Note(nil), f.notes...)
}

// Proxy is one proxy over all its processes.
type Proxy struct {
	N            int
	Name         string
	Listen, Door string
	fleet        *Fleet
	fleetAddr    string
	settings     Settings
	Disk         string // its folder
	trace        *tap   // in which it says what it goes by
	agent        *standin.Agent
	cmd          *exec.Cmd
	ended        chan struct{}
	log          *os.File
	mu           sync.Mutex
	away         []Span // when it was stopped or dead
	closed       []Span // in which it was about to end, and took no new connections
	deaths       []time.Duration
	Starts       int
	held         *os.File // the clients' listener; nil: each process opens it
}

// Span is a stretch of a run; To 0 is still on.
type Span struct{ From, To time.Duration }

// New makes a fleet's nodes, lists, links and files. No proxy runs yet.
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

// Put tells the lists' truth of a node: Ready, Terminating or Gone.
func (f *Fleet) Put(node int, state string) time.Duration {
	at := f.Note("s-%d is %s", node, state)
	f.mu.Lock()
	f.puts = append(f.puts, put{at, fmt.Sprint("s-", node), state})
	f.mu.Unlock()
	f.Discovery.Put(f.entry(node, state))
	return at
}

// Late makes the lists of a proxy late from now on.
func (p *Proxy) Late(by time.Duration) { p.agent.Late(by) }

func (p *Proxy) path(what string) string {
	return filepath.Join(p.fleet.Dir, fmt.Sprintf("%s-%d", what, p.N))
}

// WriteFile puts settings into the proxy's file, whole. The process hears of it at SIGHUP.
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

// WriteRaw puts any text into its file.
func (p *Proxy) WriteRaw(text string) error { return p.replace("config", []byte(text)) }

func (p *Proxy) replace(what string, text []byte) error {
	if err := os.WriteFile(p.path(what)+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(p.path(what)+".new", p.path(what))
}

// writeOwn writes what the operator sets: the fleet.
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
		fmt.Fprintf(&b, "[[fleet.peers]]\nname = %q\naddress = %q\n", q.Name, f.reach(p.N, j))
	}
	return p.replace("own", []byte(b.String()))
}

// reach is where one proxy reaches another.
func (f *Fleet) reach(from, to int) string {
	if f.Mesh == nil {
		return f.Proxies[to].fleetAddr
	}
	return f.Addr(from, to)
}

// Start begins a process of the proxy, and does not wait for it.
func (p *Proxy) Start() error {
	cmd := exec.Command(p.fleet.Program, "--config", p.path("own"))
	cmd.Env = append(os.Environ(), "NODE_CONFIG="+p.path("config"), "NODE_NAME=", "NODE_LISTEN=", "NODE_DISCOVERY=", "NODE_CONTROL=", "NODE_SOCKET_FD=", "TMPDIR="+p.Disk)
	if p.held != nil {
		cmd.ExtraFiles = []*os.File{p.held} // descriptor 3
		cmd.Env = append(cmd.Env, "NODE_SOCKET_FD=3", "NODE_CONTROL="+p.Door)
	}
	// By a pipe: a limit on the sizes of its files is no limit on what it says.
	cmd.Stdout, cmd.Stderr = plainWriter{p.log}, plainWriter{p.log}
	// A hang-up of the terminal is no SIGHUP of the test's; and what the test leaves when it is killed ends with it:
	// with the thread that started it, so that one stays until then.
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
			p.gone(cmd)
			close(ended)
		}
	}()
	if err := <-started; err != nil {
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	p.Starts++
	p.cmd, p.ended = cmd, ended
	return nil
}

// gone notes that a process has ended.
func (p *Proxy) gone(cmd *exec.Cmd) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == cmd {
		p.begin()
		p.deaths = append(p.deaths, p.fleet.Clock.Now())
	}
}

// died tells whether a process of the proxy ended within a stretch, with none beside it.
func (p *Proxy) died(from, to time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.deaths, func(at time.Duration) bool { return from < at && at <= to })
}

// begin and finish a stretch in which the proxy is away. The caller has the lock.
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

// Away tells whether the proxy was stopped or dead at any time of a stretch.
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

// Ready waits until the process serves.
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
			return fmt.Errorf("%s ended at its start:\n%s", p.Name, p.Log())
		default:
		}
	}
	return fmt.Errorf("%s is never ready:\n%s", p.Name, p.Log())
}

// StartAll starts all proxies and waits until they serve.
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

// Ask asks the proxy's door.
func (p *Proxy) Ask(path string) (int, []byte, error) {
	resp, err := doorClient.Get("http://" + p.Door + path)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, body, err
}

// Post hands the door a text.
func (p *Proxy) Post(path string, text []byte) (int, []byte, error) {
	resp, err := doorClient.Post("http://"+p.Door+path, "application/json", bytes.NewReader(text))
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, body, err
}

// Log is what its processes have written.
func (p *Proxy) Log() string {
	data, err := os.ReadFile(p.log.Name())
	if err != nil {
		return err.Error()
	}
	return string(data)
}

// Signal sends the process a signal.
func (p *Proxy) Signal(s syscall.Signal) {
	p.fleet.Note("%v to %s", s, p.Name)
	p.cmd.Process.Signal(s)
}

// Hangup lets it read its files again.
func (p *Proxy) Hangup() { p.Signal(syscall.SIGHUP) }

// Stop and Continue hold its process up, and let it go on.
func (p *Proxy) Stop() {
	p.mu.Lock()
	p.begin()
	p.mu.Unlock()
	p.Signal(syscall.SIGSTOP)
}

// Continue is described with Stop.
func (p *Proxy) Continue() {
	p.Signal(syscall.SIGCONT)
	p.mu.Lock()
	p.finish()
	p.mu.Unlock()
}

// Kill ends its process at once. The proxy is away from the signal on: a dying process still has connections in its
// backlog, which the system resets, and its end is heard of later than that.
func (p *Proxy) Kill() {
	p.mu.Lock()
	p.begin()
	p.mu.Unlock()
	p.Signal(syscall.SIGKILL)
	<-p.ended
}

// acceptsFor is how long new connections come after the signal to stop, as the platform has it; later ones are refused.
const acceptsFor = 400 * time.Millisecond

// Term asks its process to end.
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

// Closed tells whether the proxy was about to end then, and took no new connections any more.
func (p *Proxy) Closed(at time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.closed, func(s Span) bool { return s.From <= at && at <= s.To })
}

// KeepDisk copies the proxy's disk, for SetDisk. Only of a process that is stopped or dead.
func (p *Proxy) KeepDisk(as string) error {
	data, err := os.ReadFile(filepath.Join(p.Disk, "fleet.db"))
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(p.fleet.Dir, as), data, 0o600)
}

// SetDisk puts a copy in the place of a dead proxy's disk; "" is an empty one.
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

// Upgrade starts a second process of the proxy beside the first, and ends that when the new one is ready.
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
		return fmt.Errorf("%s: the process before does not end", p.Name)
	}
}

// Close ends all that runs.
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

// plainWriter hides that a writer is a file.
type plainWriter struct{ io.Writer }

// tap is a pipe with a name, whose text is kept: what a process writes there needs no room on its disk.
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

// read gives all that has been written by now.
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
	return nil, fmt.Errorf("%s: its end does not come", t.path)
}

func (t *tap) close() {
	t.pipe.Close()
	<-t.done
}

// Split cuts the fleet between sides, and Heal takes all weather away: with a note each.
func (f *Fleet) Split(sides ...[]int) {
	f.Note("split %v", sides)
	f.Mesh.Split(sides...)
}

// Heal is described with Split.
func (f *Fleet) Heal() {
	f.Note("healed")
	f.Mesh.Heal()
}

// Use is what a proxy's process has used so far: seconds of a core, and megabytes that are its own.
func (p *Proxy) Use() (cpu, private float64) {
	pid := p.cmd.Process.Pid
	if text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid)); err == nil {
		fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
		if len(fields) > 12 {
			var user, system float64
			fmt.Sscan(fields[11], &user)
			fmt.Sscan(fields[12], &system)
			cpu = (user + system) / 100 // the kernel's ticks a second, as /proc has them
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

// Build builds the daemon into a folder and gives its path.
func Build(dir string) (string, error) {
	to := filepath.Join(dir, "marlreel")
	out, err := exec.Command("go", "build", "-o", to, "marlreel/cmd/marlreel").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w\n%s", err, out)
	}
	return to, nil
}
