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
	"marlreel/internal/process/timing"
	"marlreel/internal/process/transport"
	"marlreel/internal/testing/fakesystem"
)

const (
	startTimeout = 40 * time.Second
	pollInterval = 100 * time.Millisecond
	// callTimeout limits an operator's call, retries included.
	callTimeout = 10 * time.Second
)

// Config describes the system to run.
type Config struct {
	// Program is the path of marlreeld.
	Program  string
	Controls int
	// Proxies counts the real proxy and the hollow ones.
	Proxies           int
	Backends          int
	Models            int
	Zones             int
	Routes            int
	HeartbeatInterval time.Duration
}

// System is a running system.
type System struct {
	cfg         Config
	folder      string // for settings files and the data of control processes
	cancel      context.CancelFunc
	hollow      sync.WaitGroup        // agents, subscribers and backends in this process
	processes   map[string][]*process // by role
	subscribers []*subscriber
	operator    *operatorclient.Client
	version     uint64 // of the newest configuration
}

// Start starts a system and waits until all nodes and backends are registered and have the configuration. The system
// stops with ctx, but Stop must be called in any case.
func Start(ctx context.Context, cfg Config) (*System, error) {
	folder, err := os.MkdirTemp("", "marlreel-scale-")
	if err != nil {
		return nil, eris.Wrap(err, "creating a folder for the trial")
	}
	ctx, cancel := context.WithCancel(ctx)
	s := &System{cfg: cfg, folder: folder, cancel: cancel, processes: map[string][]*process{}}
	if err := s.start(ctx); err != nil {
		s.Stop()
		return nil, err
	}
	return s, nil
}

// Stop ends all processes and goroutines and removes the folder.
func (s *System) Stop() {
	s.cancel()
	for _, processes := range s.processes {
		for _, p := range processes {
			p.kill()
		}
	}
	s.hollow.Wait()
	_ = os.RemoveAll(s.folder) // best effort: the folder is a temporary one of the operating system
}

func (s *System) start(ctx context.Context) error {
	controls, err := s.startControls()
	if err != nil {
		return err
	}
	edge := s.cfg.settings("edge-0", kindProxy, 0)
	for _, role := range []string{"agent", "proxy"} {
		if err := s.startProcess(role, edge); err != nil {
			return err
		}
	}
	for i := 1; i < s.cfg.Proxies; i++ {
		s.startHollow(ctx, s.cfg.settings(fmt.Sprint("edge-", i), kindProxy, i))
	}
	s.startBackends(ctx, controls)
	//nolint:contextcheck // fasthttp dials without a context; each call has a deadline instead
	s.operator = operatorclient.NewClient(controls, callTimeout, host.OSNetwork{}.Dial)
	if _, err := s.ChangeConfiguration(ctx); err != nil {
		return err
	}
	return s.awaitComplete(ctx)
}

// startControls starts the control processes and returns their addresses.
func (s *System) startControls() ([]string, error) {
	var addresses []string
	for i := range s.cfg.Controls {
		settings := s.cfg.settings(fmt.Sprint("core-", i), kindControl, i)
		settings.DataDir = filepath.Join(s.folder, settings.NodeName)
		if err := s.startProcess("control", settings); err != nil {
			return nil, err
		}
		addresses = append(addresses, settings.Listen.Control)
	}
	return addresses, nil
}

func (s *System) startProcess(role string, settings *bootstrap.Settings) error {
	p, err := startProcess(s.cfg.Program, role, s.folder, settings)
	if err != nil {
		return err
	}
	s.processes[role] = append(s.processes[role], p)
	return nil
}

// startHollow starts an agent in this process, with a subscriber in place of its proxy.
func (s *System) startHollow(ctx context.Context, settings *bootstrap.Settings) {
	machine := &host.Host{Settings: settings, Network: host.OSNetwork{}, Log: logr.Discard()}
	s.hollow.Go(func() { _ = agent.Run(ctx, machine) }) // runs until the system stops
	subscriber := newSubscriber()
	s.subscribers = append(s.subscribers, subscriber)
	store := watch.New(settings.NodeName, time.Now)
	client := transport.NewClient(host.OSNetwork{}.Dial) //nolint:contextcheck // as above
	s.hollow.Go(func() {
		watch.RunSubscriber(ctx, store, watch.SubscriberConfig{
			MaxWait: time.Second, Log: logr.Discard(),
			Sources: func() []string { return []string{settings.AgentLoopback()} },
			Connect: func(to string) watch.Source { return api.NewAgentProtobufClient("http://"+to, client) },
			OnReply: func(bool) {
				store.ReadState(func(m *state.Machine) { subscriber.record(m.Version()) })
			},
		})
	})
}

func (s *System) startBackends(ctx context.Context, controls []string) {
	for i := range s.cfg.Backends {
		model := fmt.Sprint("model-", i%max(1, s.cfg.Models))
		b := fakesystem.NewBackend(fakesystem.BackendConfig{ //nolint:contextcheck // as above
			ID: fmt.Sprint("i-", i), Service: "llm", Zone: s.cfg.zone(i), Slots: 64,
			Address: addressOf(kindBackend, i, backendPort), Controls: func() []string { return controls },
			HeartbeatInterval: s.cfg.HeartbeatInterval,
			Models:            []string{model}, CapacityMB: 200000, SizesMB: map[string]float64{model: 60000},
			LoadTimes: map[string]time.Duration{model: 3 * time.Second},
		}, host.OSNetwork{})
		s.hollow.Go(func() { _ = b.Serve(ctx) }) // runs until the system stops
	}
}

// awaitComplete waits until a control process lists all nodes and backends, and every subscriber has the configuration.
func (s *System) awaitComplete(ctx context.Context) error {
	var status controlplane.Status
	deadline := time.Now().Add(startTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		body, err := s.operator.Status(ctx)
		isRead := err == nil && json.Unmarshal(body, &status) == nil
		if isRead && len(status.Nodes) == s.cfg.Proxies && len(status.Backends) == s.cfg.Backends && s.missing(s.version) == 0 {
			return nil
		}
		timing.Sleep(ctx, pollInterval)
	}
	return eris.Errorf("system not complete after %v: %d of %d proxies and %d of %d backends registered, %d subscribers without the configuration",
		startTimeout, len(status.Nodes), s.cfg.Proxies, len(status.Backends), s.cfg.Backends, s.missing(s.version))
}

// missing returns how many subscribers have not received a version.
func (s *System) missing(version uint64) int {
	count := 0
	for _, subscriber := range s.subscribers {
		if _, known := subscriber.received(version); !known {
			count++
		}
	}
	return count
}

// ChangeConfiguration commits the next version of the configuration, and returns the time of the acknowledgement.
func (s *System) ChangeConfiguration(ctx context.Context) (time.Time, error) {
	next := s.version + 1
	if err := s.operator.ReplaceConfiguration(ctx, s.version, document(s.cfg, next)); err != nil {
		return time.Time{}, err
	}
	s.version = next
	return time.Now(), nil
}

// PropagationDelays returns the time from the acknowledgement of a version to its arrival, at least 0, for each hollow
// proxy that has received it.
func (s *System) PropagationDelays(version uint64, acknowledged time.Time) []time.Duration {
	var delays []time.Duration
	for _, subscriber := range s.subscribers {
		if at, known := subscriber.received(version); known {
			delays = append(delays, max(0, at.Sub(acknowledged)))
		}
	}
	return delays
}
