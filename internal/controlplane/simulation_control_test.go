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

// simulatedControl is a machine with a control process.
type simulatedControl struct {
	sim      *simulation
	address  string
	disk     storage.Storage
	first    bool
	replaced bool // another machine has taken its place

	up          bool
	incarnation int
	began       time.Duration // of this incarnation's clock
	store       *store.Store
	replica     *Replica // nil: there is no store
	reopenAt    time.Duration
	feed        *watch.Store
	leases      *leaseGranter
	peerClocks  peerClocks
	view        chainView
	freshness   freshnessTracker
	leaving     bool

	frozen   bool // frozen, or its disk stalls
	backlog  []func()
	fullDisk bool
	slowDisk time.Duration // what each write takes
	dieAt    int           // how many writes from now on all power is lost, in the middle of one; 0: not
}

var errFullDisk = errors.New("no space left on device")

func (sim *simulation) addControl(address string, first bool) {
	c := &simulatedControl{sim: sim, address: address, disk: storage.NewMemStorage(), first: first}
	sim.controls = append(sim.controls, c)
	c.start()
}

// clock is the monotonic clock of this incarnation.
func (c *simulatedControl) clock(at time.Duration) time.Duration { return at - c.began + time.Second }

func (c *simulatedControl) start() {
	sim := c.sim
	c.incarnation++
	c.up, c.began, c.frozen, c.backlog, c.leaving, c.reopenAt = true, sim.now, false, nil, false, 0
	c.peerClocks, c.view = peerClocks{}, chainView{seeds: func() []string { return sim.seeds }}
	c.freshness = freshnessTracker{establishedAfter: 4 * time.Second}
	c.feed = watch.New(fmt.Sprintf("%s/%d", c.address, c.incarnation), sim.clock)
	c.leases = newLeaseGranter(bootstrap.Bounds{Fencing: true, LeaseDurationMS: 3000}, c.feed, func() (uint64, bool) { return c.view.headOf(c.address) },
		c.grant, sim.clock)
	incarnation := c.incarnation
	alive := func() bool { return c.up && c.incarnation == incarnation }
	regularly := func(span time.Duration, do func()) {
		sim.every(span, func() bool {
			if alive() && !c.frozen { // a ticker that is not read drops its ticks
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
	c.close()
}

func (c *simulatedControl) close() {
	c.replica = nil
	if c.store != nil {
		_ = c.store.Close() // the storage lives on, as a disk does
		c.store = nil
	}
}

// wipe loses the disk.
func (c *simulatedControl) wipe() {
	c.kill()
	c.disk, c.first = storage.NewMemStorage(), false
}

func (c *simulatedControl) tick() {
	if c.replica != nil && c.replica.Failure() != nil {
		c.close()
		c.reopenAt = c.sim.now + storeReopenDelay
	}
	if c.replica == nil && c.sim.now >= c.reopenAt {
		c.open()
	}
	if c.replica != nil {
		c.replica.Node().SetSeeds(c.sim.seeds)
		c.replica.Tick(c.clock(c.sim.now))
	}
}

// open opens the store, as the keeper does.
func (c *simulatedControl) open() {
	if c.fullDisk { // opening writes
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
		c.close()
		return
	}
	if durable.Self == nil {
		durable.Self = &api.Member{Address: c.address, Incarnation: chain.FounderIncarnation}
		if c.first {
			durable.View = chain.FoundingView(c.sim.seeds)
		} else {
			durable.Self.Incarnation = c.sim.rng.Uint64() | 1<<63
		}
		if err := opened.Save(&durable, chain.Changes{Self: true, View: durable.View != nil}); err != nil {
			c.sim.failf("%s: founding: %v", c.address, err)
		}
	}
	c.first = false
	c.replica = NewReplica(simulatedChainConfig(len(c.sim.seeds)), durable, c.sim.seeds, c, c, c.feed, logr.Discard(), c.clock(c.sim.now))
	if c.leaving {
		c.replica.Leave(c.clock(c.sim.now))
	}
}

// simulatedChainConfig is the chain's configuration: logs are compacted often.
func simulatedChainConfig(members int) chain.Config {
	cfg := chain.DefaultConfig(members)
	cfg.MaxLogEntries, cfg.MaxJoinLagBytes = 8, 2<<10
	return cfg
}

// Save implements Saver.
func (c *simulatedControl) Save(d *chain.DurableState, changed chain.Changes) error {
	if c.fullDisk {
		if c.sim.rng.IntN(2) == 0 {
			_ = c.store.Save(d, changed) // a write that is refused may be in the journal
		}
		c.sim.coverage["a write was refused"]++
		return errFullDisk
	}
	if c.dieAt > 0 {
		if c.dieAt--; c.dieAt == 0 {
			if c.sim.rng.IntN(2) == 0 {
				_ = c.store.Save(d, changed)
			}
			c.sim.coverage["power was lost in a write"]++
			c.sim.after(0, c.sim.operators.powerIsLost)
			return errFullDisk // nothing of what follows gets out
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
	sim.carry(c.address, to, deliver)
}

// run does something on the process, or keeps it for when the process goes on.
func (c *simulatedControl) run(do func()) {
	switch {
	case !c.up:
	case c.frozen && len(c.backlog) < maxBacklog:
		c.backlog = append(c.backlog, do)
	case !c.frozen:
		do()
	}
}

// freeze freezes the process for a while.
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

// controlAt is the machine at an address that has not been replaced.
func (sim *simulation) controlAt(address string) *simulatedControl {
	for _, c := range sim.controls {
		if c.address == address && !c.replaced {
			return c
		}
	}
	return nil
}

// inService reports whether a process is in a chain in service, by its own word.
func (c *simulatedControl) inService() bool {
	return c.up && c.replica != nil && c.replica.Failure() == nil && c.replica.Node().InService()
}
