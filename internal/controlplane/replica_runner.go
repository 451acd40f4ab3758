package controlplane

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	mathrand "math/rand/v2"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"

	"marlreel/internal/api"
	"marlreel/internal/controlplane/chain"
	"marlreel/internal/controlplane/result"
	"marlreel/internal/controlplane/store"
	"marlreel/internal/distribution/watch"
	"marlreel/internal/process/bootstrap"
	"marlreel/internal/process/host"
)

const (
	// tickInterval is how often the chain looks at the time.
	tickInterval = 30 * time.Millisecond
	// storeReopenDelay is how long a store that has failed rests before it is opened again.
	storeReopenDelay = 500 * time.Millisecond
	// maxPendingEvents bounds what waits for the keeper's goroutine.
	maxPendingEvents = 1024
)

// ReplicaRunner runs a replica on one goroutine, with its store: it opens it, and opens it
// anew after a failure.
type ReplicaRunner struct {
	host        *host.Host
	settings    *bootstrap.Settings
	config      chain.Config
	sender      Sender
	feed        *watch.Store
	log         logr.Logger
	events      chan func()
	began       time.Time
	incarnation uint64 // of this process
	store       *store.Store
	replica     *Replica // nil: there is no store
	reopenAt    time.Time
	leaving     bool // the process is about to end
}

// NewReplicaRunner makes a keeper.
func NewReplicaRunner(machine *host.Host, sender Sender, out *watch.Store) *ReplicaRunner {
	settings := machine.Settings
	return &ReplicaRunner{
		host: machine, settings: settings, config: chain.DefaultConfig(settings.TargetMembers()), sender: sender, feed: out,
		incarnation: mathrand.Uint64(), log: machine.Log, events: make(chan func(), maxPendingEvents), began: time.Now(),
	}
}

// now is the steady clock. It starts above 0.
func (k *ReplicaRunner) now() time.Duration { return k.monotonic(time.Now()) }

// monotonic is a time on the steady monotonic.
func (k *ReplicaRunner) monotonic(at time.Time) time.Duration { return at.Sub(k.began) + time.Second }

// ClockReading is now, for other processes.
func (k *ReplicaRunner) ClockReading() *api.Instant {
	return &api.Instant{Incarnation: k.incarnation, MonotonicNs: uint64(k.now())}
}

// deadlineOf reads what another process says of this one's clock; ok is false where it is of another life.
func (k *ReplicaRunner) deadlineOf(instant *api.Instant) (until time.Duration, ok bool) {
	return time.Duration(instant.GetMonotonicNs()), instant.GetIncarnation() == k.incarnation
}

// Run keeps the chain until ctx ends.
func (k *ReplicaRunner) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	defer k.close()
	for {
		select {
		case event := <-k.events:
			event()
		case <-ticker.C:
			k.tick()
		case <-ctx.Done():
			return
		}
	}
}

func (k *ReplicaRunner) tick() {
	if k.replica != nil && k.replica.Failure() != nil {
		k.close()
		k.reopenAt = time.Now().Add(storeReopenDelay)
	}
	if k.replica == nil && !time.Now().Before(k.reopenAt) {
		if err := k.open(); err != nil {
			k.log.Error(err, "the store can't be opened", "event", "store")
			k.close()
			k.reopenAt = time.Now().Add(storeReopenDelay)
		}
	}
	if k.replica != nil {
		k.replica.Node().SetSeeds(k.settings.SeedPeers())
		k.replica.Tick(k.now())
	}
}

func (k *ReplicaRunner) close() {
	k.replica = nil
	if k.store != nil {
		// What it may still hold back was answered as unclear.
		_ = k.store.Close()
		k.store = nil
	}
}

// open opens the store and makes a replica of what it holds.
func (k *ReplicaRunner) open() error {
	opened, err := k.host.OpenStore()
	if err != nil {
		return err
	}
	k.store = opened
	durable, err := opened.Load()
	if eris.Is(err, store.ErrCorrupted) {
		// Its promises can't be trusted: it comes back as another member, without any.
		k.log.Error(err, "the store is set aside", "event", "store")
		k.close()
		return k.host.RemoveStore()
	}
	if err != nil {
		return err
	}
	if durable.Self == nil {
		if durable, err = k.initialise(); err != nil {
			return err
		}
	}
	k.replica = NewReplica(k.config, durable, k.settings.SeedPeers(), opened, k.sender, k.feed, k.log, k.now())
	if k.leaving {
		k.replica.Leave(k.now())
	}
	return nil
}

// leavePollInterval is how often it is looked whether the chain can do without this process.
const leavePollInterval = 20 * time.Millisecond

// Leave takes this process out of the chain, and waits until that can do without it or ctx ends.
func (k *ReplicaRunner) Leave(ctx context.Context) {
	k.post(func() {
		k.leaving = true
		if k.replica != nil {
			k.replica.Leave(k.now())
		}
	})
	for ctx.Err() == nil {
		left := make(chan bool, 1)
		k.post(func() { left <- k.replica == nil || k.replica.Node().HasLeft() })
		select {
		case over := <-left:
			if over {
				return
			}
		case <-ctx.Done():
		}
		sleep(ctx, leavePollInterval)
	}
}

// initialise gives an empty disk an identity: a founder's at the very first start of the
// system, or else that of one who waits to be taken in.
func (k *ReplicaRunner) initialise() (chain.DurableState, error) {
	self := &api.Member{Address: k.settings.PeerAddress(), Incarnation: chain.FounderIncarnation}
	durable := chain.DurableState{Self: self}
	if k.settings.FirstStart && k.settings.IsSeed() {
		durable.View = chain.FoundingView(k.settings.SeedPeers())
	} else {
		var random [8]byte
		if _, err := rand.Read(random[:]); err != nil {
			return durable, eris.Wrap(err, "drawing an incarnation")
		}
		self.Incarnation = binary.BigEndian.Uint64(random[:]) | 1<<63
	}
	return durable, k.store.Save(&durable, chain.Changes{Self: true, View: durable.View != nil})
}

// post has an event handled on the keeper's goroutine; it tells whether there was room.
func (k *ReplicaRunner) post(event func()) bool {
	select {
	case k.events <- event:
		return true
	default:
		return false
	}
}

// Deliver takes messages of other members in.
func (k *ReplicaRunner) Deliver(messages []*api.ChainMessage) {
	k.post(func() {
		if k.replica == nil {
			return
		}
		for _, message := range messages {
			k.replica.Receive(k.now(), message)
		}
	})
}

// Submit has an operation done here, if this is the head and it comes before until.
func (k *ReplicaRunner) Submit(operation *api.Operation, until time.Duration, reply Reply) {
	posted := k.post(func() {
		if k.replica == nil {
			reply(result.Unavailable, "this process has no store")
			return
		}
		k.replica.Submit(k.now(), operation, until, reply)
	})
	if !posted {
		reply(result.Unavailable, "too much waits")
	}
}

// SubmitInView has an operation done here, if this is the head of a view and it comes before until.
func (k *ReplicaRunner) SubmitInView(operation *api.Operation, view uint64, until time.Duration, reply Reply) {
	k.post(func() {
		if k.replica != nil {
			k.replica.SubmitInView(k.now(), operation, view, until, reply)
		}
	})
}

// ReadState reads the newest state here, if this is the tail; atHead: if it is the head.
func (k *ReplicaRunner) ReadState(atHead bool, reply ReadReply) {
	posted := k.post(func() {
		switch {
		case k.replica == nil:
			reply(result.Unavailable, nil)
		case atHead:
			k.replica.ReadAtHead(k.now(), reply)
		default:
			k.replica.Read(k.now(), reply)
		}
	})
	if !posted {
		reply(result.Unavailable, nil)
	}
}

// ChainStatus is where this process stands in the chain, as far as it knows.
type ChainStatus struct {
	Head, Tail  string   // addresses; "" is not known
	Members     []string // addresses of all members
	Chain       []string // addresses of those in the chain, the head first
	Leaving     bool     // this process is about to end, and asks to be left out
	CatchingUp  string   // whom this head brings up to date; "" is nobody
	Connected   bool     // in service, and a majority is heard
	View        uint64
	Committed   uint64
	StoreFailed bool // there is no store that could be written
}

// ChainStatus asks the keeper's goroutine.
func (k *ReplicaRunner) ChainStatus(take func(ChainStatus)) {
	posted := k.post(func() {
		s := chainStatusOf(k.replica)
		s.Leaving = k.leaving
		take(s)
	})
	if !posted {
		take(ChainStatus{})
	}
}

// chainStatusOf is where a replica stands; nil: there is no store.
func chainStatusOf(r *Replica) ChainStatus {
	if r == nil {
		return ChainStatus{StoreFailed: true}
	}
	node := r.Node()
	s := ChainStatus{
		Head: node.Head().GetAddress(), Tail: node.Tail().GetAddress(), Connected: node.Connected(),
		View: node.View().GetNumber(), Committed: node.Committed(), CatchingUp: node.CatchUpAddress(),
	}
	for _, member := range node.View().Members {
		s.Members = append(s.Members, member.Address)
	}
	for _, member := range node.View().Chain {
		s.Chain = append(s.Chain, member.Address)
	}
	return s
}
