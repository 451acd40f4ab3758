package simcluster

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"marlreel/internal/controlplane"
	"marlreel/internal/testing/fakesystem"
	"marlreel/internal/testing/simnet"
)

const (
	// historyControls and historyEdges are how many machines a drawn history has.
	historyControls, historyEdges = 3, 4
	// historyModelBackends is how many backends with models one has: fewer than there are models.
	historyModelBackends = 2
	// historyFaults is how many faults one has.
	historyFaults = 6
	// maxFaultTime and longestRest bound how long a fault lasts, and the calm behind it.
	maxFaultTime = 2500 * time.Millisecond
	maxPauseTime = 1500 * time.Millisecond
	// maxRecovery is within what time of the last fault all has to be well.
	maxRecovery = 10 * time.Second
	// diskRecovery is how long a machine has to catch up before the next disk may be lost.
	diskRecovery = 4 * time.Second
)

// clusterFault is one thing that happens to a whole cluster.
type clusterFault struct {
	kind           string
	machine, other int
	lasts, rest    time.Duration
}

// String is the fault as it is told where a history fails.
func (f clusterFault) String() string {
	return fmt.Sprintf("%s machine=%d other=%d lasts=%s rest=%s", f.kind, f.machine, f.other, f.lasts, f.rest)
}

func (c *Cluster) control(n int) *Machine { return c.Controls[n%len(c.Controls)] }
func (c *Cluster) edge(n int) *Machine    { return c.Edges[n%len(c.Edges)] }

// addresses are those of all machines of the system.
func (c *Cluster) addresses() []string {
	var all []string
	for _, m := range c.Machines() {
		all = append(all, m.IP)
	}
	return all
}

// restart ends a machine's processes at once, and starts them after a while.
func (c *Cluster) restart(m *Machine, down time.Duration) {
	m.Kill()
	c.Sleep(down)
	m.Start()
}

// clusterFaults are what can happen. What fault_tolerance allows is kept: one disk is lost at a
// time, and its machine is given time to catch up.
var clusterFaults = map[string]func(c *Cluster, f clusterFault){
	"kill-control": func(c *Cluster, f clusterFault) { c.restart(c.control(f.machine), f.lasts) },
	"kill-edge":    func(c *Cluster, f clusterFault) { c.restart(c.edge(f.machine), f.lasts) },
	"kill-control-and-edge": func(c *Cluster, f clusterFault) {
		c.control(f.machine).Kill()
		c.restart(c.edge(f.other), f.lasts)
		c.control(f.machine).Start()
	},
	"terminate-edge": func(c *Cluster, f clusterFault) {
		c.edge(f.machine).Terminate()
		c.Sleep(f.lasts)
		c.edge(f.machine).Start()
	},
	"lose-control-disk": func(c *Cluster, f clusterFault) {
		c.Sleep(diskRecovery)
		m := c.control(f.machine)
		m.Kill()
		m.EraseDisk()
		c.Sleep(f.lasts)
		m.Start()
		c.Sleep(diskRecovery)
	},
	"lose-disk-and-power": func(c *Cluster, f clusterFault) {
		c.Sleep(diskRecovery)
		c.control(f.machine).Kill()
		c.control(f.machine).EraseDisk()
		c.losePower(f.lasts / 4)
		c.Sleep(diskRecovery)
	},
	"lose-power": func(c *Cluster, f clusterFault) { c.losePower(f.lasts / 2) },
	"cut-control": func(c *Cluster, f clusterFault) {
		c.Net.Isolate(c.control(f.machine).IP, c.addresses(), true)
		c.Sleep(f.lasts)
		c.Net.Isolate(c.control(f.machine).IP, c.addresses(), false)
	},
	"cut-edge": func(c *Cluster, f clusterFault) {
		c.Net.Isolate(c.edge(f.machine).IP, c.addresses(), true)
		c.Sleep(f.lasts)
		c.Net.Isolate(c.edge(f.machine).IP, c.addresses(), false)
	},
	"cut-one-way": func(c *Cluster, f clusterFault) {
		all := c.addresses()
		from, to := all[f.machine%len(all)], all[f.other%len(all)]
		c.Net.Cut(from, to, true)
		c.Sleep(f.lasts)
		c.Net.Cut(from, to, false)
	},
	"lose-datagrams": func(c *Cluster, f clusterFault) {
		c.Net.SetLoss(0.3)
		c.Sleep(f.lasts)
		c.Net.SetLoss(0)
	},
	// Who places the models is cut off from all but the backends, for longer than its lease.
	"cut-placer": func(c *Cluster, f clusterFault) {
		placer := c.placementHolder()
		if placer == nil {
			return
		}
		c.Net.Isolate(placer.IP, c.addresses(), true)
		c.Sleep(2 * f.lasts)
		c.Net.Isolate(placer.IP, c.addresses(), false)
	},
	// A backend's end is seen by nobody, and another one comes.
	"kill-backend": func(c *Cluster, f clusterFault) {
		number := f.machine % len(c.Backends)
		old := c.Backends[number]
		old.Kill()
		c.Sleep(f.lasts)
		id, zone := fmt.Sprintf("r-%d", len(c.Backends)), zones[f.other%len(zones)]
		if old.Service() == "llm" {
			c.AddBackend(busyModelBackend(id, zone, "m0"))
			return
		}
		c.AddBackend(busySlipBackend(id, zone))
	},
}

// busyModelBackend is a model backend with room for one of the three models, which are loaded soon: with two such backends
// orders go on for ever.
func busyModelBackend(id, zone string, models ...string) fakesystem.BackendConfig {
	cfg := llmBackend(id, zone, models...)
	cfg.CapacityMB = historyCapacityMB
	for name := range cfg.LoadTimes {
		cfg.LoadTimes[name] = 600 * time.Millisecond
	}
	return cfg
}

// busySlipBackend is a plain backend that takes long enough for faults to meet requests that run.
func busySlipBackend(id, zone string) fakesystem.BackendConfig {
	cfg := slipBackend(id, zone)
	cfg.RequestTime = 150 * time.Millisecond
	return cfg
}

// historyCapacityMB is what a backend of a history holds, in MB.
const historyCapacityMB = 70000

// historyDocument is the configuration of a history, with one more route at a place of its own.
func historyDocument(place string) func(version uint64) string {
	return func(version uint64) string {
		mark := fmt.Sprintf(`{"name":"mark","host":"a.example","path_prefix":"%s","route_class":"unsafe","timeout_ms":2000,`+
			`"target_latency_ms":150,"priority":2,"service":"slips","max_attempts":1},`, place)
		return strings.NewReplacer(`"weights_mb":200000`, fmt.Sprintf(`"weights_mb":%d`, historyCapacityMB), `"load_time_s":3`, `"load_time_s":0.6`,
			`{"name":"slip"`, mark+`{"name":"slip"`).Replace(document(version))
	}
}

// placementHolder is the machine that holds the role of placing models, as a control process sees it; nil: none is known.
func (c *Cluster) placementHolder() *Machine {
	for _, m := range c.Controls {
		var status controlplane.Status
		code, answer, err := c.callControl(m, "GET", "/marlreel/status", "", "")
		if err == nil && code == 200 && json.Unmarshal([]byte(answer), &status) == nil && len(status.Leases) == 1 {
			return c.holderOf(status.Leases[0])
		}
	}
	return nil
}

// drawClusterHistory draws the faults of a number.
func drawClusterHistory(number int) []clusterFault {
	rng := rand.New(rand.NewPCG(uint64(number), 5))
	kinds := make([]string, 0, len(clusterFaults))
	for kind := range clusterFaults {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	span := func(most time.Duration) time.Duration {
		return time.Duration(rng.Int64N(int64(most))).Truncate(time.Millisecond)
	}
	var faults []clusterFault
	for range historyFaults {
		faults = append(faults, clusterFault{
			kind: kinds[rng.IntN(len(kinds))], machine: rng.IntN(60), other: rng.IntN(60),
			lasts: span(maxFaultTime), rest: span(maxPauseTime),
		})
	}
	return faults
}

// historyRun gathers what clients and operators of a history were answered, and what was wrong.
type historyRun struct {
	cluster     *Cluster
	over        chan struct{}
	running     sync.WaitGroup
	changesOver chan struct{} // closed when operators are to make no more changes

	mu           sync.Mutex
	violations   []string
	register     registerLog
	onceRequests []onceRequest
	streams      int // that came to their end
}

// onceRequest is a request that may run once at most, and its answer.
type onceRequest struct {
	id     string
	status int // 0: there was none
}

func (w *historyRun) violation(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

// repeat does something now and then until over is closed.
func (w *historyRun) repeat(over <-chan struct{}, span time.Duration, do func()) {
	w.running.Go(func() {
		for {
			select {
			case <-over:
				return
			default:
			}
			do()
			w.cluster.Sleep(span)
		}
	})
}

// sendOnce sends a request that can't be repeated.
func (w *historyRun) sendOnce(edge *Machine) {
	w.mu.Lock()
	r := slipRequest()
	w.mu.Unlock()
	got, err := w.cluster.Send(edge, r)
	if err != nil {
		got.Status = 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.onceRequests = append(w.onceRequests, onceRequest{r.ID, got.Status})
}

// stream asks for a stream: each event that comes is the next one.
func (w *historyRun) stream(edge *Machine, model string) {
	w.mu.Lock()
	r := chatRequest(model)
	w.mu.Unlock()
	r.Timeout = 6 * time.Second
	got, err := w.cluster.Send(edge, r)
	if err != nil || got.Status != 200 {
		return
	}
	events := got.Events
	if !got.Complete && len(events) > 0 {
		events = events[:len(events)-1] // it may have been cut within the last one
	}
	for i, event := range events {
		if want := fmt.Sprintf("id: %d\ndata: %s", i+1, fakesystem.EventText(r.ID, i+1)); event != want {
			w.violation("stream %s: event %d is %q", r.ID, i+1, event)
			return
		}
	}
	if !got.Complete {
		return
	}
	if len(events) != 10 {
		w.violation("stream %s ended with %d events of 10", r.ID, len(events))
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.streams++
}

// checkRequests checks that what may run once has, and that a promise was true.
func (w *historyRun) checkRequests() {
	runs := map[string]int{}
	for _, b := range w.cluster.Backends {
		for _, run := range b.Executions() {
			runs[run.Request]++
		}
	}
	for _, asked := range w.onceRequests {
		ran := runs[asked.id]
		promised := asked.status == 503 || asked.status == 429 || asked.status == 408 || asked.status == 421
		switch {
		case ran > 1:
			w.violation("request %s ran %d times", asked.id, ran)
		case promised && ran > 0:
			w.violation("request %s was refused with %d, and ran", asked.id, asked.status)
		case asked.status == 200 && ran == 0:
			w.violation("request %s was served, and never ran", asked.id)
		}
	}
}

// checkOrders checks that nobody gives orders once a later holder has.
func (w *historyRun) checkOrders() {
	var orders []fakesystem.ReceivedOrder
	for _, b := range w.cluster.Backends {
		orders = append(orders, b.ReceivedOrders()...)
		for _, fault := range b.Violations() {
			w.violation("an order beyond a backend's room: %s", fault)
		}
	}
	slices.SortStableFunc(orders, func(a, b fakesystem.ReceivedOrder) int { return a.At.Compare(b.At) })
	var newest fakesystem.ReceivedOrder
	for _, order := range orders {
		switch {
		case order.FencingToken < newest.FencingToken:
			w.violation("%s gives an order under token %d, %s after one under %d", order.Holder, order.FencingToken, order.At.Sub(newest.At), newest.FencingToken)
		case order.FencingToken == newest.FencingToken && order.Holder != newest.Holder:
			w.violation("%s and %s both give orders under token %d", order.Holder, newest.Holder, order.FencingToken)
		default:
			newest = order
		}
	}
}

// checkRecovery checks that within the time for it changes are taken, read, and in force everywhere.
func (w *historyRun) checkRecovery() {
	c, prefix := w.cluster, "/recovered/"
	end := time.Now().Add(maxRecovery)
	taken := false
	for !taken && time.Now().Before(end) {
		taken = w.write(0, prefix)
		c.Sleep(100 * time.Millisecond)
	}
	if !taken {
		w.violation("no change was taken within %s of the last fault", maxRecovery)
		return
	}
	c.Sleep(applyTime)
	for _, edge := range c.Edges {
		if !w.servesAt(edge, prefix, end) {
			w.violation("%s does not serve by the newest configuration within %s of the last fault", edge.Name, maxRecovery)
		}
	}
}

// servesAt tells whether a proxy serves a route before a time.
func (w *historyRun) servesAt(edge *Machine, prefix string, end time.Time) bool {
	for {
		w.mu.Lock()
		r := slipRequest()
		w.mu.Unlock()
		r.Path = prefix + "1"
		if got, err := w.cluster.Send(edge, r); err == nil && got.Status == 200 {
			return true
		}
		if time.Now().After(end) {
			return false
		}
		w.cluster.Sleep(100 * time.Millisecond)
	}
}

// checkActivity checks that a history had what its checks are about.
func (w *historyRun) checkActivity(t *testing.T) {
	t.Helper()
	statuses, orders, tokens := map[int]int{}, 0, map[uint64]bool{}
	for _, asked := range w.onceRequests {
		statuses[asked.status]++
	}
	for _, b := range w.cluster.Backends {
		for _, order := range b.ReceivedOrders() {
			orders++
			tokens[order.FencingToken] = true
		}
	}
	t.Logf("requests by status %v, %d streams, %d orders under %d tokens, %d calls of operators", statuses, w.streams, orders,
		len(tokens), len(w.register.operations))
	if statuses[200] == 0 || w.streams == 0 || orders == 0 || len(w.register.operations) == 0 {
		w.violation("the history had no life in it")
	}
}

// runClusterHistory plays faults under traffic and changes, and gives all that was wrong.
func runClusterHistory(t *testing.T, faults []clusterFault) []string {
	t.Helper()
	c := New(Config{
		Controls: historyControls, Edges: historyEdges, Zones: zones, Log: logr.Discard(),
		Net: simnet.Config{Delay: time.Millisecond, Jitter: time.Millisecond, Seed: 1},
	})
	defer c.Stop()
	for i, zone := range zones {
		if i < historyModelBackends {
			c.AddBackend(busyModelBackend(fmt.Sprintf("i-%d", i), zone, "m0"))
		}
		c.AddBackend(busySlipBackend(fmt.Sprintf("s-%d", i), zone))
	}
	if status, answer, err := c.ReplaceConfiguration(historyDocument("/mark/"), maxRecovery); err != nil || status != 200 {
		t.Fatalf("the first configuration: %d %s %v", status, answer, err)
	}
	c.Sleep(3 * time.Second)
	w := &historyRun{cluster: c, over: make(chan struct{}), changesOver: make(chan struct{})}
	w.register.begin(historyDocument("/mark/")(1))
	for operator := range 2 {
		w.repeat(w.changesOver, 400*time.Millisecond, func() { w.write(operator, "") })
	}
	w.repeat(w.over, 300*time.Millisecond, w.read)
	for _, edge := range c.Edges {
		for range 3 {
			w.repeat(w.over, 100*time.Millisecond, func() { w.sendOnce(edge) })
		}
	}
	for _, edge := range c.Edges {
		asked := 0
		w.repeat(w.over, 250*time.Millisecond, func() {
			asked++
			w.stream(edge, fmt.Sprintf("m%d", asked/8%3)) // what is asked for changes all the time
		})
	}
	for _, f := range faults {
		clusterFaults[f.kind](c, f)
		c.Sleep(f.rest)
	}
	close(w.changesOver)
	w.checkRecovery()
	close(w.over)
	w.running.Wait()
	w.checkRequests()
	w.checkOrders()
	w.checkRegister()
	w.checkActivity(t)
	return w.violations
}

// Whole clusters live through drawn faults, under traffic and changes.
func TestDrawnClusterHistories(t *testing.T) {
	histories, first := 8, 0
	if more, err := strconv.Atoi(os.Getenv("CLUSTER_HISTORIES")); err == nil {
		histories = more
	}
	if from, err := strconv.Atoi(os.Getenv("CLUSTER_FIRST")); err == nil {
		first = from
	}
	for number := first; number < first+histories; number++ {
		t.Run(strconv.Itoa(number), func(t *testing.T) {
			t.Parallel()
			faults := drawClusterHistory(number)
			synctest.Test(t, func(t *testing.T) {
				wrong := runClusterHistory(t, faults)
				if len(wrong) == 0 {
					return
				}
				var story strings.Builder
				for _, f := range faults {
					fmt.Fprintln(&story, f)
				}
				t.Errorf("%s\nthe history:\n%s", strings.Join(wrong[:min(len(wrong), 12)], "\n"), story.String())
			})
		})
	}
}
