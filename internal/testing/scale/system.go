package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"

	"marlreel/internal/agent"
	"marlreel/internal/api"
	"marlreel/internal/controlplane"
	"marlreel/internal/controlplane/operatorclient"
	"marlreel/internal/controlplane/state"
	"marlreel/internal/distribution/watch"
	"marlreel/internal/process/bootstrap"
	"marlreel/internal/process/host"
	"marlreel/internal/process/transport"
	"marlreel/internal/testing/fakesystem"
)

// Config says what system is run.
type Config struct {
	Program           string // marlreeld
	Controls          int
	Proxies           int // the hollow ones and the real one
	Backends          int
	Models            int
	Zones             int
	Routes            int
	HeartbeatInterval time.Duration
}

// The address of a machine on loopback says its kind and number; all machines use the
// same ports.
const (
	kindControl = 41
	kindProxy   = 42
	kindBackend = 43
	// kindInside is added for the address at which a machine's own processes meet.
	kindInside = 10
	perSubnet  = 200

	peerPort    = 17660
	frontPort   = 18080
	readyPort   = 18081
	controlPort = 18082
	backendPort = 19000
)

func address(kind, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", kind, number/perSubnet, number%perSubnet+1)
}

// System is a running system.
type System struct {
	cfg       Config
	folder    string
	ctx       context.Context
	cancel    context.CancelFunc
	hollow    sync.WaitGroup
	processes map[string][]*process // by role
	readers   []*reader
	backends  []*fakesystem.Backend
	operator  *operatorclient.Client
	version   uint64
}

// reader stands in for a proxy: it follows its agent, and notes when each version of the
// configuration was there.
type reader struct {
	mu   sync.Mutex
	seen map[uint64]time.Time
}

func (r *reader) note(version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.seen[version]; !known {
		r.seen[version] = time.Now()
	}
}

func (r *reader) at(version uint64) (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, known := r.seen[version]
	return at, known
}

func (cfg Config) zone(number int) string { return fmt.Sprint("zone-", number%cfg.Zones) }

func (cfg Config) settings(name string, kind, number int) *bootstrap.Settings {
	s := &bootstrap.Settings{
		NodeName: name, IP: address(kind, number), Zone: cfg.zone(number), InternalPorts: []int{peerPort, peerPort + 15},
		LoopbackIP: address(kind+kindInside, number), FirstStart: true, HeartbeatIntervalMS: float64(cfg.HeartbeatInterval.Milliseconds()), Zones: map[string]string{},
		Limits: bootstrap.Limits{MemoryMB: 256, MaxOpenFiles: 4096}, Tolerance: bootstrap.FaultTolerance{Machines: (cfg.Controls - 1) / 2},
		Bounds: bootstrap.Bounds{
			ShutdownGraceS: 8, ConfigApplyMS: 2000, RetryBudgetRatio: 0.2, RetryWindowS: 10, RetrySlack: 52,
			WarmupExcess: 1.5, WarmupSlack: 5, Fencing: true, LeaseDurationMS: 3000, DrainMS: 2000,
		},
	}
	s.Listen = bootstrap.ListenAddresses{
		Front: fmt.Sprint(s.IP, ":", frontPort), Readiness: fmt.Sprint(s.IP, ":", readyPort),
		Control: fmt.Sprint(s.IP, ":", controlPort),
	}
	for zone := range cfg.Zones {
		s.Zones[cfg.zone(zone)] = "region"
	}
	for seed := range min(3, cfg.Controls) {
		s.SeedNodes = append(s.SeedNodes, fmt.Sprint(address(kindControl, seed), ":", controlPort))
	}
	return s
}

// Start starts a system and waits until all of it is known.
func Start(parent context.Context, cfg Config) (*System, error) {
	folder, err := os.MkdirTemp("", "marlreel-scale-")
	if err != nil {
		return nil, eris.Wrap(err, "making a folder for the trial")
	}
	s := &System{cfg: cfg, folder: folder, processes: map[string][]*process{}}
	s.ctx, s.cancel = context.WithCancel(parent)
	if err := s.start(); err != nil {
		s.Stop()
		return nil, err
	}
	return s, nil
}

const (
	startPatience = 40 * time.Second
	lookEvery     = 100 * time.Millisecond
	callPatience  = 10 * time.Second
)

func (s *System) start() error {
	var controls []string
	for i := range s.cfg.Controls {
		settings := s.cfg.settings(fmt.Sprint("core-", i), kindControl, i)
		settings.DataDir = filepath.Join(s.folder, settings.NodeName)
		if err := s.run("control", settings); err != nil {
			return err
		}
		controls = append(controls, settings.Listen.Control)
	}
	real := s.cfg.settings("edge-0", kindProxy, 0)
	for _, role := range []string{"agent", "proxy"} {
		if err := s.run(role, real); err != nil {
			return err
		}
	}
	for i := 1; i < s.cfg.Proxies; i++ {
		s.addHollow(s.cfg.settings(fmt.Sprint("edge-", i), kindProxy, i))
	}
	s.addBackends(controls)
	s.operator = operatorclient.NewClient(controls, callPatience, host.OSNetwork{}.Dial)
	if _, err := s.ChangeConfiguration(); err != nil {
		return err
	}
	return s.await()
}

func (s *System) run(role string, settings *bootstrap.Settings) error {
	p, err := startProcess(s.cfg.Program, role, s.folder, settings)
	if err != nil {
		return err
	}
	s.processes[role] = append(s.processes[role], p)
	return nil
}

// addHollow starts an agent in this process, and a reader in place of its proxy.
func (s *System) addHollow(settings *bootstrap.Settings) {
	machine := &host.Host{Settings: settings, Network: host.OSNetwork{}, Log: logr.Discard()}
	s.hollow.Go(func() { _ = agent.Run(s.ctx, machine) }) // it ends with the system
	r := &reader{seen: map[uint64]time.Time{}}
	s.readers = append(s.readers, r)
	store := watch.New(settings.NodeName, time.Now)
	client := transport.NewClient(host.OSNetwork{}.Dial)
	s.hollow.Go(func() {
		watch.RunSubscriber(s.ctx, store, watch.SubscriberConfig{
			MaxWait: time.Second, Log: logr.Discard(),
			Sources: func() []string { return []string{settings.AgentLoopback()} },
			Connect: func(to string) watch.Source { return api.NewAgentProtobufClient("http://"+to, client) },
			OnReply: func(bool) {
				store.ReadState(func(m *state.Machine) { r.note(m.Version()) })
			},
		})
	})
}

func (s *System) addBackends(controls []string) {
	for i := range s.cfg.Backends {
		model := fmt.Sprint("model-", i%max(1, s.cfg.Models))
		b := fakesystem.NewBackend(fakesystem.BackendConfig{
			ID: fmt.Sprint("i-", i), Service: "llm", Zone: s.cfg.zone(i), Slots: 64,
			Address: fmt.Sprint(address(kindBackend, i), ":", backendPort), Controls: func() []string { return controls }, HeartbeatInterval: s.cfg.HeartbeatInterval,
			Models: []string{model}, CapacityMB: 200000, SizesMB: map[string]float64{model: 60000},
			LoadTimes: map[string]time.Duration{model: 3 * time.Second},
		}, host.OSNetwork{})
		s.backends = append(s.backends, b)
		s.hollow.Go(func() { _ = b.Serve(s.ctx) }) // it ends with the system
	}
}

// await waits until a control process lists all nodes and backends, and each reader has the
// configuration.
func (s *System) await() error {
	var status controlplane.Status
	for end := time.Now().Add(startPatience); time.Now().Before(end); pause(s.ctx, lookEvery) {
		body, err := s.operator.Status(s.ctx)
		if err != nil || json.Unmarshal(body, &status) != nil {
			continue
		}
		if len(status.Nodes) == s.cfg.Proxies && len(status.Backends) == s.cfg.Backends && s.missing(s.version) == 0 {
			return nil
		}
	}
	return eris.Errorf("after %v: %d of %d proxies and %d of %d backends are known, %d readers lack the configuration",
		startPatience, len(status.Nodes), s.cfg.Proxies, len(status.Backends), s.cfg.Backends, s.missing(s.version))
}

func (s *System) missing(version uint64) int {
	count := 0
	for _, r := range s.readers {
		if _, known := r.at(version); !known {
			count++
		}
	}
	return count
}

// ChangeConfiguration puts another version of the configuration in force, and says when it was
// acknowledged.
func (s *System) ChangeConfiguration() (acknowledged time.Time, err error) {
	next := s.version + 1
	if err := s.operator.ReplaceConfiguration(s.ctx, s.version, document(s.cfg, next)); err != nil {
		return time.Time{}, err
	}
	s.version = next
	return time.Now(), nil
}

// PropagationDelays gives, for each hollow proxy that has a version, how long after its acknowledgement it
// had it.
func (s *System) PropagationDelays(version uint64, acknowledged time.Time) []time.Duration {
	var lags []time.Duration
	for _, r := range s.readers {
		if at, known := r.at(version); known {
			lags = append(lags, max(0, at.Sub(acknowledged)))
		}
	}
	return lags
}

// Stop ends everything and removes what it has left on disk.
func (s *System) Stop() {
	s.cancel()
	for _, processes := range s.processes {
		for _, p := range processes {
			p.stop()
		}
	}
	s.hollow.Wait()
	_ = os.RemoveAll(s.folder) // a folder of the system's for what is temporary
}

// pause waits for a span, or until ctx ends.
func pause(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
