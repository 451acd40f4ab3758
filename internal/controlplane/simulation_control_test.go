package controlplane

import (
	"errors"
	"fmt"
	"time"

	"github.com/go-logr/logr"
	"github.com/syndtr/goleveldb/leveldb/storage"
	"google.golang.org/protobuf/proto"

	"marlreel/internal/api"
	"marlreel/internal/controlplane/chain"
	"marlreel/internal/controlplane/store"
	"marlreel/internal/distribution/watch"
	"marlreel/internal/process/bootstrap"
)

// simulatedControl is a machine that runs a control process.
type simulatedControl struct {
	sim      *simulation
	address  string
	disk     storage.Storage
	founder  bool
	replaced bool // permanently removed, and replaced by another machine

	up          bool
	incarnation int
	startedAt   time.Duration // when this incarnation was started
	store       *store.Store
	replica     *Replica // nil while the store is not open
	reopenAt    time.Duration
	feed        *watch.Store
	leases      *leaseGranter
	peerClocks  peerClocks
	view        chainView
	freshness   freshnessTracker
	leaving     bool

	frozen               bool // the process is suspended, or its disk stalls
	backlog              []func()
	fullDisk             bool
	slowDisk             time.Duration // the duration of each write
	writesUntilPowerLoss int           // all power is lost during the write when this reaches 0; initially 0 for never
}

var errFullDisk = errors.New("no space left on device")

func (sim *simulation) addControl(address string, first bool) {
	c := &simulatedControl{sim: sim, address: address, disk: storage.NewMemStorage(), founder: first}
	sim.controls = append(sim.controls, c)
	c.start()
}

// clock converts a time of the simulation to the monotonic clock of this incarnation.
func (c *simulatedControl) clock(at time.Duration) time.Duration {
	return at - c.startedAt + time.Second
}

func (c *simulatedControl) start() {
	sim := c.sim
	c.incarnation++
	c.up, c.startedAt, c.frozen, c.backlog, c.leaving, c.reopenAt = true, sim.now, false, nil, false, 0
	c.peerClocks, c.view = peerClocks{}, chainView{seeds: func() []string { return sim.seeds }}
	c.freshness = freshnessTracker{establishedAfter: 4 * time.Second}
	c.feed = watch.New(fmt.Sprintf("%s/%d", c.address, c.incarnation), sim.clock)
	c.leases = newLeaseGranter(bootstrap.Bounds{Fencing: true, LeaseDurationMS: 3000}, c.feed, func() (uint64, bool) { return c.view.headOf(c.address) },
		c.grant, sim.clock)
	incarnation := c.incarnation
	alive := func() bool { return c.up && c.incarnation == incarnation }
	regularly := func(span time.Duration, do func()) {
		sim.every(span, func() bool {
			if alive() && !c.frozen { // a ticker whose channel is not read drops ticks
				do()
			}
			return alive()
		})
	}
	regularly(controlTickInterval, c.tick)
	regularly(chainStatusInterval, c.publishChainStatus)
	regularly(grantInterval, c.leases.submitDueGrants)
	regularly(expiryInterval, func() { c.feed.ExpireNodes(nodeTimeout) })
}

func (c *simulatedControl) kill() {
	c.up, c.incarnation = false, c.incarnation+1
	c.closeStore()
}

func (c *simulatedControl) closeStore() {
	c.replica = nil
	if c.store != nil {
		_ = c.store.Close() // the storage keeps its contents, as a disk does
		c.store = nil
	}
}

// wipe stops the process and replaces its disk by an empty one.
func (c *simulatedControl) wipe() {
	c.kill()
	c.disk, c.founder = storage.NewMemStorage(), false
}

func (c *simulatedControl) tick() {
	if c.replica != nil && c.replica.Failure() != nil {
		c.closeStore()
		c.reopenAt = c.sim.now + storeReopenDelay
	}
	if c.replica == nil && c.sim.now >= c.reopenAt {
		c.openStore()
	}
	if c.replica != nil {
		c.replica.Node().SetSeeds(c.sim.seeds)
		c.replica.Tick(c.clock(c.sim.now))
	}
}

// openStore opens the store, as ReplicaRunner.openStore does.
func (c *simulatedControl) openStore() {
	if c.fullDisk { // opening a store writes to disk
		c.reopenAt = c.sim.now + storeReopenDelay
		return
	}
	opened, err := store.OpenStorage(c.disk)
	if err != nil {
		c.sim.failf("%s: opening the store: %v", c.address, err)
		return
	}
	c.store = opened
	durable, err := opened.Load()
	if err != nil {
		c.sim.failf("%s: reading the store: %v", c.address, err)
		c.closeStore()
		return
	}
	if durable.Self == nil {
		durable.Self = &api.Member{Address: c.address, Incarnation: chain.FounderIncarnation}
		if c.founder {
			durable.View = chain.FoundingView(c.sim.seeds)
		} else {
			durable.Self.Incarnation = c.sim.rng.Uint64() | 1<<63
		}
		if err := opened.Save(&durable, chain.Changes{Self: true, View: durable.View != nil}); err != nil {
			c.sim.failf("%s: initialising the store: %v", c.address, err)
		}
	}
	c.founder = false
	c.replica = NewReplica(simulatedChainConfig(len(c.sim.seeds)), durable, c.sim.seeds, c, c, c.feed, logr.Discard(), c.clock(c.sim.now))
	if c.leaving {
		c.replica.Leave(c.clock(c.sim.now))
	}
}

// simulatedChainConfig is the chain's configuration, with small limits so that logs are compacted often.
func simulatedChainConfig(members int) chain.Config {
	cfg := chain.DefaultConfig(members)
	cfg.MaxLogEntries, cfg.MaxJoinLagBytes = 8, 2<<10
	return cfg
}

// Save implements Saver.
func (c *simulatedControl) Save(d *chain.DurableState, changed chain.Changes) error {
	if c.fullDisk {
		if c.sim.rng.IntN(2) == 0 {
			_ = c.store.Save(d, changed) // a failed write may be in the journal nevertheless
		}
		c.sim.coverage["a write to disk failed"]++
		return errFullDisk
	}
	if c.writesUntilPowerLoss > 0 {
		if c.writesUntilPowerLoss--; c.writesUntilPowerLoss == 0 {
			if c.sim.rng.IntN(2) == 0 {
				_ = c.store.Save(d, changed)
			}
			c.sim.coverage["power was lost during a write"]++
			c.sim.after(0, c.sim.operators.losePower)
			return errFullDisk // so that the replica sends nothing more
		}
	}
	if c.slowDisk > 0 {
		c.freeze(c.slowDisk)
	}
	return c.store.Save(d, changed)
}

// Send implements Sender.
func (c *simulatedControl) Send(message *api.ChainMessage) {
	sim, to := c.sim, message.To.GetAddress()
	copied := proto.CloneOf(message)
	deliver := func() {
		if receiver := sim.controlAt(to); receiver != nil {
			receiver.run(func() {
				if receiver.replica != nil {
					receiver.replica.Receive(receiver.clock(sim.now), copied)
				}
			})
		}
	}
	if message.GetHeartbeat() != nil {
		sim.datagram(c.address, to, deliver)
		return
	}
	sim.sendOnConnection(c.address, to, deliver)
}

// run runs an event on the process. While the process is frozen, the event is queued until it resumes.
func (c *simulatedControl) run(do func()) {
	switch {
	case !c.up:
	case c.frozen && len(c.backlog) < maxBacklog:
		c.backlog = append(c.backlog, do)
	case !c.frozen:
		do()
	}
}

// freeze suspends the process for a span of time.
func (c *simulatedControl) freeze(span time.Duration) {
	if c.frozen {
		return
	}
	c.frozen = true
	incarnation := c.incarnation
	c.sim.after(span, func() {
		if c.incarnation == incarnation {
			c.resume()
		}
	})
}

func (c *simulatedControl) resume() {
	c.frozen = false
	backlog := c.backlog
	c.backlog = nil
	for _, do := range backlog {
		c.run(do)
	}
}

func (c *simulatedControl) publishChainStatus() {
	s := chainStatusOf(c.replica)
	c.view.onChainStatus(s)
	c.feed.SetSourceStatus(c.freshness.onChainStatus(s, c.sim.clock()))
	if s.Connected {
		c.sim.operators.auditFresh(c)
	}
}

// controlAt returns the machine at an address, or nil if there is none or it has been replaced.
func (sim *simulation) controlAt(address string) *simulatedControl {
	for _, c := range sim.controls {
		if c.address == address && !c.replaced {
			return c
		}
	}
	return nil
}

// inService reports whether a process considers itself part of a chain in service.
func (c *simulatedControl) inService() bool {
	return c.up && c.replica != nil && c.replica.Failure() == nil && c.replica.Node().InService()
}
