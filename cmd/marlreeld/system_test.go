package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/valyala/fasthttp"

	"marlreel/internal/controlplane"
	"marlreel/internal/process/bootstrap"
	"marlreel/internal/process/host"
	"marlreel/internal/testing/fakesystem"
	"marlreel/internal/testing/linearizability"
)

const (
	controlCount = 5
	edgeCount    = 6
	// suspendTime is how long a control process is suspended.
	suspendTime = 20 * time.Second
	// waitTimeout bounds each wait; the machine may be busy.
	waitTimeout = 40 * time.Second
	// pollInterval is how often await checks its condition.
	pollInterval = 20 * time.Millisecond
)

// testSystem is a system of real processes, with backends, operators and clients.
type testSystem struct {
	t        *testing.T
	folder   string
	controls []*process
	edges    []*process // the agent and the proxy of each machine, in this order
	backends []*fakesystem.Backend
	client   *fasthttp.Client
	versions *versions
	number   int // of this system in this test process
	document func(version uint64, path string) string

	mu         sync.Mutex
	operations []porcupine.Operation
	newest     linearizability.Configuration // the newest acknowledged configuration
	writes     int
	statuses   map[string]int // by id, of requests that must not run more than once
	ids        int
	began      time.Time
}

var zoneNames = []string{"east", "north", "west"}

// systems counts the systems of this test process: each has addresses of its own.
var systems atomic.Int64

// loopbackIP returns the address of a machine of a kind: 1 for control, 2 for proxies, 3 for backends.
func (s *testSystem) loopbackIP(kind, number int) string {
	const kinds = 10
	return fmt.Sprintf("127.%d.%d.%d", loopbackNetwork(), kinds*s.number+kind, number+1)
}

// loopbackNetwork returns the second byte of the addresses of this test process. It depends on the process id, as test
// processes that run at the same time, from two checkouts, must not share addresses. The processes of one machine reach
// each other on the network above it.
func loopbackNetwork() int {
	const first, networks = 2, 120
	return first + 2*(os.Getpid()%networks)
}

// machineIP returns the address at which the processes of one machine reach each other.
func machineIP(ip string) string {
	network := loopbackNetwork()
	return strings.Replace(ip, fmt.Sprintf("127.%d.", network), fmt.Sprintf("127.%d.", network+1), 1)
}

// startSystem starts all processes and backends. They end with the test, which logs the processes' output if it failed.
func startSystem(t *testing.T) *testSystem {
	t.Helper()
	return startSystemFrom(t, readVersions(t))
}

// startSystemFrom is startSystem with processes of the given versions.
func startSystemFrom(t *testing.T, programs *versions) *testSystem {
	t.Helper()
	return startSystemOfSize(t, programs, edgeCount)
}

// startSystemOfSize is startSystemFrom with the given number of machines at the edge.
func startSystemOfSize(t *testing.T, programs *versions, edges int) *testSystem {
	t.Helper()
	s := &testSystem{
		t: t, folder: t.TempDir(), client: &fasthttp.Client{MaxIdemponentCallAttempts: 1}, statuses: map[string]int{},
		began: time.Now(), versions: programs, number: int(systems.Add(1)), document: testDocument,
	}
	for i := range controlCount {
		settings := s.testSettings(fmt.Sprintf("core-%d", i), s.loopbackIP(1, i), i)
		settings.DataDir = filepath.Join(s.folder, settings.NodeName)
		if err := os.MkdirAll(settings.DataDir, 0o755); err != nil {
			t.Fatal(err)
		}
		s.controls = append(s.controls, s.startProcess("control", settings))
	}
	for i := range edges {
		name, ip := fmt.Sprintf("edge-%d", i), s.loopbackIP(2, i)
		s.edges = append(s.edges, s.startProcess("agent", s.testSettings(name, ip, i)), s.startProcess("proxy", s.testSettings(name, ip, i)))
	}
	s.startBackends()
	return s
}

// testSettings returns the settings of a machine.
func (s *testSystem) testSettings(name, ip string, number int) *bootstrap.Settings {
	settings := &bootstrap.Settings{
		NodeName: name, IP: ip, Zone: zoneNames[number%len(zoneNames)], InternalPorts: []int{27660, 27675},
		FirstStart: true, HeartbeatIntervalMS: 600, Zones: map[string]string{}, LoopbackIP: machineIP(ip),
		Limits: bootstrap.Limits{MemoryMB: 256, MaxOpenFiles: 4096}, Tolerance: bootstrap.FaultTolerance{Machines: (controlCount - 1) / 2},
		Bounds: fakesystem.Bounds(),
		Listen: bootstrap.ListenAddresses{Front: ip + ":28080", Readiness: ip + ":28081", Control: ip + ":28082"},
	}
	for _, zone := range zoneNames {
		settings.Zones[zone] = "region"
	}
	for seed := range 3 {
		settings.SeedNodes = append(settings.SeedNodes, s.loopbackIP(1, seed)+":28082")
	}
	return settings
}

func (s *testSystem) startProcess(role string, settings *bootstrap.Settings) *process {
	p := &process{t: s.t, role: role, settings: settings, folder: s.folder, output: &lockedBuffer{}, program: s.versions.next}
	s.t.Cleanup(func() {
		p.kill()
		if s.t.Failed() {
			s.t.Logf("%s %s:\n%s", settings.NodeName, role, p.output)
		}
	})
	p.start()
	return p
}

func (s *testSystem) startBackends() {
	for i := range 3 {
		s.startBackend(fakesystem.BackendConfig{
			ID: fmt.Sprintf("s-%d", i), Service: "slips", Zone: zoneNames[i], Slots: 6, RequestTime: 20 * time.Millisecond,
		})
	}
}

// startBackend starts a backend at an address of its own. It ends with the test.
func (s *testSystem) startBackend(cfg fakesystem.BackendConfig) {
	ctx, cancel := context.WithCancel(context.Background())
	var serving sync.WaitGroup
	s.t.Cleanup(func() {
		cancel()
		serving.Wait()
	})
	cfg.Address, cfg.HeartbeatInterval = s.loopbackIP(3, len(s.backends))+":29000", 600*time.Millisecond
	cfg.Controls = s.addresses
	b := fakesystem.NewBackend(cfg, host.OSNetwork{})
	s.backends = append(s.backends, b)
	serving.Go(func() { _ = b.Serve(ctx) })
}

// addresses returns the addresses at which operators and backends reach control.
func (s *testSystem) addresses() []string {
	var all []string
	for _, c := range s.controls {
		all = append(all, c.settings.Listen.Control)
	}
	return all
}

// await waits until isDone returns true, and fails the test after waitTimeout.
func (s *testSystem) await(what string, isDone func() bool) {
	s.t.Helper()
	began := time.Now()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !isDone() {
		if time.Since(began) > waitTimeout {
			s.t.Fatalf("%s: not within %s", what, waitTimeout)
		}
		<-ticker.C
	}
	s.t.Logf("%6.2f s %s after %v", time.Since(s.began).Seconds(), what, time.Since(began).Round(pollInterval))
}

// sleep is for pauses and for states that have to last; await is for conditions.
func sleep(span time.Duration) { <-time.After(span) }

func (s *testSystem) call(address, method, path, base, body string) (int, string) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + address + path)
	if base != "" {
		request.Header.Set("Base-Version", base)
	}
	request.SetBodyString(body)
	if err := s.client.DoTimeout(request, response, time.Second); err != nil {
		return 0, ""
	}
	return response.StatusCode(), string(response.Body())
}

// status returns the status of a control process, nil if it doesn't answer.
func (s *testSystem) status(c *process) *controlplane.Status {
	var status controlplane.Status
	code, answer := s.call(c.settings.Listen.Control, http.MethodGet, "/marlreel/status", "", "")
	if code != http.StatusOK || json.Unmarshal([]byte(answer), &status) != nil {
		return nil
	}
	return &status
}

// findChain returns the head of the chain if a connected member reports a chain of the given length.
func (s *testSystem) findChain(length int) (*process, bool) {
	for _, c := range s.controls {
		status := s.status(c)
		if status == nil || !status.Connected || len(status.Chain) != length {
			continue
		}
		for _, candidate := range s.controls {
			if candidate.settings.PeerAddress() == status.Head {
				return candidate, true
			}
		}
	}
	return nil, false
}

func (s *testSystem) awaitChain(what string, length int) *process {
	s.t.Helper()
	var head *process
	s.await(what, func() bool {
		found, isFound := s.findChain(length)
		head = found
		return isFound
	})
	return head
}
