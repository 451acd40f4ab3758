package simcluster

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"marlreel/internal/testing/fakesystem"
)

// clusterFault is a fault of a cluster. machine and other select the affected machines, modulo the number of candidates.
type clusterFault struct {
	kind           string
	machine, other int
	lasts, pause   time.Duration // pause is the fault-free time that follows
}

// String formats the fault for the report of a failed history.
func (f clusterFault) String() string {
	return fmt.Sprintf("%s machine=%d other=%d lasts=%s pause=%s", f.kind, f.machine, f.other, f.lasts, f.pause)
}

func (c *Cluster) control(n int) *Machine { return c.Controls[n%len(c.Controls)] }

func (c *Cluster) edge(n int) *Machine { return c.Edges[n%len(c.Edges)] }

// addresses returns the addresses of all machines of the system.
func (c *Cluster) addresses() []string {
	var all []string
	for _, m := range c.Machines() {
		all = append(all, m.IP)
	}
	return all
}

// restart kills a machine's processes, and starts them again after down.
func (c *Cluster) restart(m *Machine, down time.Duration) {
	m.Kill()
	c.Sleep(down)
	m.Start()
}

// usualStreamFault is how streams end in all histories: some have no length, and a few of these are cut.
func usualStreamFault(seed int) fakesystem.StreamFault {
	return fakesystem.StreamFault{Unframed: 0.5, Cut: 0.1, Seed: uint64(seed)}
}

// frequentStreamFault is how streams end during the fault cut-streams: most have no length, and most of these are cut.
func frequentStreamFault(seed int) fakesystem.StreamFault {
	return fakesystem.StreamFault{Unframed: 0.8, Cut: 0.6, Seed: uint64(seed)}
}

// setStreamFault changes how the streams of all backends end.
func (c *Cluster) setStreamFault(fault fakesystem.StreamFault) {
	for _, b := range c.Backends {
		b.SetStreamFault(fault)
	}
}

// usualEarlyStart is when requests begin in all histories: most of them when their heads are in, and a few of these end before
// their bodies are.
func usualEarlyStart(seed int) fakesystem.EarlyStart {
	return fakesystem.EarlyStart{Share: 0.7, Broken: 0.1, Seed: uint64(seed)}
}

// frequentEarlyStart is when requests begin during the fault break-starts.
func frequentEarlyStart(seed int) fakesystem.EarlyStart {
	return fakesystem.EarlyStart{Share: 1, Broken: 0.5, Seed: uint64(seed)}
}

// setEarlyStart changes when the requests of all backends without models begin.
func (c *Cluster) setEarlyStart(start fakesystem.EarlyStart) {
	for _, b := range c.Backends {
		if b.Service() != "llm" {
			b.SetEarlyStart(start)
		}
	}
}

// clusterFaults maps each kind of fault to the function that injects it. The faults stay within fault_tolerance: one disk
// is lost at a time, and its machine gets time to catch up.
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
		c.Net.SetPartitioned(from, to, true)
		c.Sleep(f.lasts)
		c.Net.SetPartitioned(from, to, false)
	},
	"lose-datagrams": func(c *Cluster, f clusterFault) {
		c.Net.SetLoss(0.3)
		c.Sleep(f.lasts)
		c.Net.SetLoss(0)
	},
	// The holder of the placement lease is partitioned from all machines but the backends, for longer than its lease.
	"cut-placer": func(c *Cluster, f clusterFault) {
		holder := c.placementHolder()
		if holder == nil {
			return
		}
		c.Net.Isolate(holder.IP, c.addresses(), true)
		c.Sleep(2 * f.lasts)
		c.Net.Isolate(holder.IP, c.addresses(), false)
	},
	// Backends send streams without a length, and cut most of them.
	"cut-streams": func(c *Cluster, f clusterFault) {
		c.setStreamFault(frequentStreamFault(f.machine))
		c.Sleep(f.lasts)
		c.setStreamFault(usualStreamFault(f.other))
	},
	// Backends begin requests when their heads are in, and end a half of them before their bodies are.
	"break-starts": func(c *Cluster, f clusterFault) {
		c.setEarlyStart(frequentEarlyStart(f.machine))
		c.Sleep(f.lasts)
		c.setEarlyStart(usualEarlyStart(f.other))
	},
	// A backend is killed without detaching, and a new one is added.
	"kill-backend": func(c *Cluster, f clusterFault) {
		old := c.Backends[f.machine%len(c.Backends)]
		old.Kill()
		c.Sleep(f.lasts)
		c.replaceBackend(old, f.other)
	},
	// A backend drains, breaks requests off meanwhile, and ends without waiting for the others; a new one is added.
	"drain-backend": func(c *Cluster, f clusterFault) {
		old := c.Backends[f.machine%len(c.Backends)]
		if old.Service() != "llm" {
			old.SetEarlyStart(frequentEarlyStart(f.machine))
		}
		old.Drain()
		c.Sleep(f.lasts)
		old.Kill()
		c.replaceBackend(old, f.other)
	},
}

// replaceBackend adds a backend of the same service as one that has ended.
func (c *Cluster) replaceBackend(old *Backend, seed int) {
	id, zone := fmt.Sprintf("r-%d", len(c.Backends)), zones[seed%len(zones)]
	if old.Service() == "llm" {
		c.AddBackend(busyModelBackend(id, zone, "m0")).SetStreamFault(usualStreamFault(seed))
		return
	}
	c.AddBackend(busySlipBackend(id, zone)).SetEarlyStart(usualEarlyStart(seed))
}

// drawClusterHistory generates the random faults of a history from its number, the seed.
func drawClusterHistory(number int) []clusterFault {
	rng := rand.New(rand.NewPCG(uint64(number), 5))
	kinds := make([]string, 0, len(clusterFaults))
	for kind := range clusterFaults {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	span := func(limit time.Duration) time.Duration {
		return time.Duration(rng.Int64N(int64(limit))).Truncate(time.Millisecond)
	}
	var faults []clusterFault
	for range historyFaults {
		faults = append(faults, clusterFault{
			kind: kinds[rng.IntN(len(kinds))], machine: rng.IntN(60), other: rng.IntN(60),
			lasts: span(maxFaultTime), pause: span(maxPauseTime),
		})
	}
	return faults
}
