package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"marlreel/internal/testing/fakesystem"
)

const (
	// soakSeedVariable, soakSecondsVariable and soakEdgesVariable are the environment variables with the soak's seed, its
	// duration and its number of machines at the edge, each of which runs two processes.
	soakSeedVariable, soakSecondsVariable, soakEdgesVariable = "MARLREELD_SOAK_SEED", "MARLREELD_SOAK_SECONDS", "MARLREELD_SOAK_EDGES"
	defaultSoakSeconds                                       = 45
	// clientsPerProxy is how many clients keep a connection to each proxy.
	clientsPerProxy = 3
	// edgesPerMachineDown: at most one in this many machines at the edge restarts at a time.
	edgesPerMachineDown = 3
	maxSoakPause        = 700 * time.Millisecond
	evacuationPause     = time.Second
	// A series has up to maxSeries signals, with pauses of at most maxSeriesPause.
	maxSeries      = 8
	maxSeriesPause = 30 * time.Millisecond
)

// soakStreamFault is how the streams of the soak end: half of them have no length, and some of these are cut.
func soakStreamFault(seed uint64) fakesystem.StreamFault {
	return fakesystem.StreamFault{Unframed: 0.5, Cut: 0.1, Seed: seed}
}

// soakEarlyStart is when the requests of the soak begin: most of them when their heads are in, and some of these end before
// their bodies are.
func soakEarlyStart(seed uint64) fakesystem.EarlyStart {
	return fakesystem.EarlyStart{Share: 0.7, Broken: 0.1, Seed: seed}
}

// soakDocument is testDocument with an additional streaming route.
func soakDocument(version uint64, path string) string {
	return strings.NewReplacer(
		`"service_list":[`, `"service_list":[{"name":"llm","health_path":"/health","conn_limit":300,"engine":{"slots":64,"kv_capacity":100000,`+
			`"weights_mb":200000,"adapter_capacity":8,"load_per_s":4,"model_list":[{"name":"m0","weights_mb":60000,"load_time_s":3}]}},`,
		`"service":"slips","max_attempts":1`, `"service":"slips","max_attempts":3`,
		`"route_list":[`, `"route_list":[{"name":"chat","host":"a.example","path_prefix":"/chat/","route_class":"streaming","timeout_ms":8000,`+
			`"target_latency_ms":800,"priority":1,"service":"llm","max_attempts":2,"affinity":true,"resumable":true,"gap_aim_ms":400},`,
	).Replace(testDocument(version, path))
}

// soakMachine is a machine whose processes are signalled together.
type soakMachine struct {
	restarting atomic.Bool

	mu        sync.Mutex // guards all below, and the commands of the processes
	processes []*process
	ending    map[*process]bool // told to end, and not started again yet
}

func newSoakMachine(processes ...*process) *soakMachine {
	return &soakMachine{processes: processes, ending: map[*process]bool{}}
}

// signal sends a signal to the processes of the machine, or only to those that have been told to end.
func (m *soakMachine) signal(signal syscall.Signal, onlyEnding bool) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.processes {
		if onlyEnding && !m.ending[p] {
			continue
		}
		err := p.command.Process.Signal(signal)
		if errors.Is(err, os.ErrProcessDone) && m.ending[p] {
			err = nil
		}
		if err != nil {
			return fmt.Errorf("%s to %s %s: %w", signal, p.settings.NodeName, p.role, err)
		}
		if signal == syscall.SIGTERM {
			m.ending[p] = true
		}
	}
	return nil
}

// startAgain starts a process that has ended, and waits until it handles signals.
func (m *soakMachine) startAgain(p *process) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	p.start()
	m.ending[p] = false
	return p.awaitRunning()
}

// soak sends signals to the processes of a system.
type soak struct {
	*testSystem
	rng             *rand.Rand
	edgeMachines    []*soakMachine
	controlMachines []*soakMachine
	restarts        sync.WaitGroup // in progress
	counts          map[string]int
}

func newSoak(s *testSystem, seed uint64) *soak {
	k := &soak{testSystem: s, rng: rand.New(rand.NewPCG(seed, 23)), counts: map[string]int{}}
	for pair := range slices.Chunk(s.edges, 2) {
		k.edgeMachines = append(k.edgeMachines, newSoakMachine(pair...))
	}
	for _, c := range s.controls {
		k.controlMachines = append(k.controlMachines, newSoakMachine(c))
	}
	return k
}

// run sends random signals for a time span, and then waits until all restarts are done.
func (k *soak) run(span time.Duration) {
	events := map[string]func(){
		"restart a machine at the edge": func() { k.restart(k.edgeMachines, max(1, len(k.edgeMachines)/edgesPerMachineDown)) },
		"restart a control process":     func() { k.restart(k.controlMachines, 1) },
		"change a settings file":        func() { k.hangUp(true) },
		"hang up":                       func() { k.hangUp(false) },
		"a series of signals":           k.sendSeries,
	}
	names := make([]string, 0, len(events))
	for name := range events {
		names = append(names, name)
	}
	slices.Sort(names)
	for began := time.Now(); time.Since(began) < span && !k.t.Failed(); {
		name := names[k.rng.IntN(len(names))]
		events[name]()
		k.counts[name]++
		sleep(time.Duration(k.rng.Int64N(int64(maxSoakPause))))
	}
	k.restarts.Wait()
	k.t.Logf("signals: %v", k.counts)
}

// restart ends the processes of a random machine by SIGTERM and starts them again in the background. It does nothing if
// maxDown machines are restarting already, or if this one is.
func (k *soak) restart(machines []*soakMachine, maxDown int) {
	down := 0
	for _, m := range machines {
		if m.restarting.Load() {
			down++
		}
	}
	m := machines[k.rng.IntN(len(machines))]
	if down >= maxDown || !m.restarting.CompareAndSwap(false, true) {
		return
	}
	k.send(m, syscall.SIGTERM, false)
	k.restarts.Go(func() {
		defer m.restarting.Store(false)
		for _, p := range m.processes {
			k.awaitEnd(p)
			if err := m.startAgain(p); err != nil {
				k.t.Errorf("%s %s did not start again: %v", p.settings.NodeName, p.role, err)
			}
		}
	})
}

// send sends a signal to the processes of a machine, or only to those that have been told to end.
func (k *soak) send(m *soakMachine, signal syscall.Signal, onlyEnding bool) {
	if err := m.signal(signal, onlyEnding); err != nil {
		k.t.Error(err)
	}
}

// randomMachine returns any machine.
func (k *soak) randomMachine() *soakMachine {
	all := append(slices.Clone(k.edgeMachines), k.controlMachines...)
	return all[k.rng.IntN(len(all))]
}

// sendSeries sends signals to a machine, one shortly after the other and whatever its processes are doing: SIGHUP to all of
// them, and SIGTERM once more to those that are ending.
func (k *soak) sendSeries() {
	m := k.randomMachine()
	for range 2 + k.rng.IntN(maxSeries-1) {
		if k.rng.IntN(2) == 0 {
			k.send(m, syscall.SIGHUP, false)
		} else {
			k.send(m, syscall.SIGTERM, true)
		}
		sleep(time.Duration(k.rng.Int64N(int64(maxSeriesPause))))
	}
}

// awaitEnd waits for a process to end after SIGTERM. It must do so by itself, within the platform's grace period.
func (k *soak) awaitEnd(p *process) {
	ended := make(chan error, 1)
	command := p.command // only the restart that called awaitEnd changes it
	go func() { ended <- command.Wait() }()
	grace := time.Duration(p.settings.Bounds.ShutdownGraceS * float64(time.Second))
	select {
	case err := <-ended:
		if err != nil {
			k.t.Errorf("%s %s ended with %v after SIGTERM", p.settings.NodeName, p.role, err)
		}
	case <-time.After(grace + time.Second):
		k.t.Errorf("%s %s still ran %v after SIGTERM", p.settings.NodeName, p.role, grace)
		_ = command.Process.Kill()
		<-ended
	}
}

// hangUp sends SIGHUP to the processes of a machine, after changing their settings files if change is set. A machine that is
// restarting gets the signal alone, as it reads its settings when it starts.
func (k *soak) hangUp(change bool) {
	m := k.randomMachine()
	if m.restarting.CompareAndSwap(false, true) { // also keeps restart away from the machine
		defer m.restarting.Store(false)
		for _, p := range m.processes {
			if !change {
				break
			}
			seeds := slices.Clone(p.settings.SeedNodes)
			k.rng.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
			p.settings.SeedNodes = seeds
			p.writeSettings()
		}
	}
	k.send(m, syscall.SIGHUP, false)
}

// checkRunning checks that no process has ended by itself.
func (k *soak) checkRunning() {
	for _, p := range slices.Concat(k.edges, k.controls) {
		if err := p.command.Process.Signal(syscall.Signal(0)); err != nil {
			k.t.Errorf("%s %s has ended by itself: %v", p.settings.NodeName, p.role, err)
		}
	}
}

// soakParameters returns the seed, the duration and the number of machines at the edge.
func soakParameters() (seed uint64, span time.Duration, edges int) {
	number := func(variable string, fallback int) int {
		if given, err := strconv.Atoi(os.Getenv(variable)); err == nil {
			return given
		}
		return fallback
	}
	seconds := number(soakSecondsVariable, defaultSoakSeconds)
	return uint64(number(soakSeedVariable, 1)), time.Duration(seconds) * time.Second, number(soakEdgesVariable, edgeCount)
}

// Guards against lost, repeated or cut answers, and against processes that end by themselves, while signals, restarts and
// configuration changes come in series and overlap, backends cut streams and break requests off whose bodies are not in yet,
// and clients reuse their connections until the proxy closes them. The test doesn't run in parallel, as the other tests of this package start many processes already.
func TestNoAnswerIsLostInASoakOfSignals(t *testing.T) {
	seed, span, edges := soakParameters()
	t.Logf("seed %d for %v with %d processes (%s, %s, %s)", seed, span, controlCount+2*edges, soakSeedVariable, soakSecondsVariable, soakEdgesVariable)
	s := startSystemOfSize(t, readVersions(t), edges)
	s.document = soakDocument
	for i, b := range s.backends {
		b.SetEarlyStart(soakEarlyStart(seed + uint64(i)))
	}
	for i := range 2 {
		s.startBackend(fakesystem.BackendConfig{
			ID: fmt.Sprintf("i-%d", i), Service: "llm", Zone: zoneNames[i], Slots: 64, Models: []string{"m0"}, CapacityMB: 200000,
			LoadTimes: map[string]time.Duration{"m0": 3 * time.Second}, SizesMB: map[string]float64{"m0": 60000},
			DecodeTime: 10 * time.Millisecond, PrefillTime: 50 * time.Microsecond, TokensPerEvent: 2,
		})
		s.backends[len(s.backends)-1].SetStreamFault(soakStreamFault(seed))
	}
	s.await("the first configuration is committed", func() bool {
		code, _ := s.call(s.controls[0].settings.Listen.Control, http.MethodPost, "/marlreel/config/replace", "0", s.document(1, "first"))
		return code == http.StatusOK
	})
	s.awaitChain("all five are in the chain", controlCount)
	for _, p := range s.proxies() {
		s.await(p.settings.NodeName+" serves", func() bool { return s.sendRequest(p, "slip") == http.StatusOK })
	}
	clients := newKeepAliveClients(s, seed)
	k := newSoak(s, seed)
	whileRunning(func() {
		k.run(span)
		s.awaitChain("all are in the chain", controlCount)
		clients.stop()
	}, func() { s.changeConfiguration(0) }, func() { s.changeConfiguration(1) }, func() {
		s.evacuateAndRestore(zoneNames[2])
		sleep(evacuationPause)
	})
	k.checkRunning()
	clients.check()
	s.await("a change is committed", func() bool { return s.changeConfiguration(0) })
	s.awaitInForce()
	s.checkHistory()
}
