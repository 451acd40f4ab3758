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
	// tickEvery is how often the chain looks at the time.
	tickEvery = 30 * time.Millisecond
	// reopenAfter is how long a store that has failed rests before it is opened again.
	reopenAfter = 500 * time.Millisecond
	// mostEvents bounds what waits for the keeper's goroutine.
	mostEvents = 1024
)

// Keeper runs a replica on one goroutine, with its store: it opens it, and opens it
// anew after a failure.
type Keeper struct {
	machine  *host.Host
	settings *bootstrap.Settings
	config   chain.Config
	sender   Sender
	feed     *watch.Store
	log      logr.Logger
	events   chan func()
	began    time.Time
	life     uint64 // of this process
	store    *store.Store
	replica  *Replica // nil: there is no store
	openAt   time.Time
	leaving  bool // the process is about to end
}

// NewKeeper makes a keeper.
func NewKeeper(machine *host.Host, sender Sender, out *watch.Store) *Keeper {
	settings := machine.Settings
	return &Keeper{
		machine: machine, settings: settings, config: chain.DefaultConfig(settings.TargetMembers()), sender: sender, feed: out,
		life: mathrand.Uint64(), log: machine.Log, events: make(chan func(), mostEvents), began: time.Now(),
	}
}

// now is the steady clock. It starts above 0.
func (k *Keeper) now() time.Duration { return k.clock(time.Now()) }

// clock is a time on the steady clock.
func (k *Keeper) clock(at time.Time) time.Duration { return at.Sub(k.began) + time.Second }

// Instant is now, for other processes.
func (k *Keeper) Instant() *api.Instant {
	return &api.Instant{Incarnation: k.life, MonotonicNs: uint64(k.now())}
}

// until reads what another process says of this one's clock; ok is false where it is of another life.
func (k *Keeper) until(instant *api.Instant) (until time.Duration, ok bool) {
	return time.Duration(instant.GetMonotonicNs()), instant.GetIncarnation() == k.life
}

// Run keeps the chain until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
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

func (k *Keeper) tick() {
	if k.replica != nil && k.replica.Failure() != nil {
		k.close()
		k.openAt = time.Now().Add(reopenAfter)
	}
	if k.replica == nil && !time.Now().Before(k.openAt) {
		if err := k.open(); err != nil {
			k.log.Error(err, "the store can't be opened", "event", "store")
			k.close()
			k.openAt = time.Now().Add(reopenAfter)
		}
	}
	if k.replica != nil {
		k.replica.Node().SetContacts(k.settings.SeedPeers())
		k.replica.Tick(k.now())
	}
}

func (k *Keeper) close() {
	k.replica = nil
	if k.store != nil {
		// What it may still hold back was answered as unclear.
		_ = k.store.Close()
		k.store = nil
	}
}

// open opens the store and makes a replica of what it holds.
func (k *Keeper) open() error {
	opened, err := k.machine.OpenStore()
	if err != nil {
		return err
	}
	k.store = opened
	durable, err := opened.Load()
	if eris.Is(err, store.ErrDamaged) {
		// Its promises can't be trusted: it comes back as another member, without any.
		k.log.Error(err, "the store is set aside", "event", "store")
		k.close()
		return k.machine.RemoveStore()
	}
	if err != nil {
		return err
	}
	if durable.Self == nil {
		if durable, err = k.found(); err != nil {
			return err
		}
	}
	k.replica = NewReplica(k.config, durable, k.settings.SeedPeers(), opened, k.sender, k.feed, k.log, k.now())
	if k.leaving {
		k.replica.Leave(k.now())
	}
	return nil
}

// leaveLook is how often it is looked whether the chain can do without this process.
const leaveLook = 20 * time.Millisecond

// Leave takes this process out of the chain, and waits until that can do without it or ctx ends.
func (k *Keeper) Leave(ctx context.Context) {
	k.post(func() {
		k.leaving = true
		if k.replica != nil {
			k.replica.Leave(k.now())
		}
	})
	for ctx.Err() == nil {
		left := make(chan bool, 1)
		k.post(func() { left <- k.replica == nil || k.replica.Node().Left() })
		select {
		case over := <-left:
			if over {
				return
			}
		case <-ctx.Done():
		}
		pause(ctx, leaveLook)
	}
}

// found gives an empty disk an identity: a founder's at the very first start of the
// system, or else that of one who waits to be taken in.
func (k *Keeper) found() (chain.Durable, error) {
	self := &api.Member{Address: k.settings.PeerAddress(), Incarnation: chain.FounderIncarnation}
	durable := chain.Durable{Self: self}
	if k.settings.FirstStart && k.settings.IsSeed() {
		durable.View = chain.FoundingView(k.settings.SeedPeers())
	} else {
		var random [8]byte
		if _, err := rand.Read(random[:]); err != nil {
			return durable, eris.Wrap(err, "drawing an incarnation")
		}
		self.Incarnation = binary.BigEndian.Uint64(random[:]) | 1<<63
	}
	return durable, k.store.Save(&durable, chain.Changed{Self: true, View: durable.View != nil})
}

// post has an event handled on the keeper's goroutine; it tells whether there was room.
func (k *Keeper) post(event func()) bool {
	select {
	case k.events <- event:
		return true
	default:
		return false
	}
}

// Deliver takes messages of other members in.
func (k *Keeper) Deliver(messages []*api.ChainMessage) {
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
func (k *Keeper) Submit(operation *api.Operation, until time.Duration, reply Reply) {
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
func (k *Keeper) SubmitInView(operation *api.Operation, view uint64, until time.Duration, reply Reply) {
	k.post(func() {
		if k.replica != nil {
			k.replica.SubmitInView(k.now(), operation, view, until, reply)
		}
	})
}

// Read reads the newest state here, if this is the tail; atHead: if it is the head.
func (k *Keeper) Read(atHead bool, reply ReadReply) {
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

// Standing is where this process stands in the chain, as far as it knows.
type Standing struct {
	Head, Tail string   // addresses; "" is not known
	Members    []string // addresses of all members
	Chain      []string // addresses of those in the chain, the head first
	Leaving    bool     // this process is about to end, and asks to be left out
	CatchingUp string   // whom this head brings up to date; "" is nobody
	Connected  bool     // in service, and a majority is heard
	View       uint64
	Committed  uint64
	NoStore    bool // there is no store that could be written
}

// Standing asks the keeper's goroutine.
func (k *Keeper) Standing(take func(Standing)) {
	posted := k.post(func() {
		s := standingOf(k.replica)
		s.Leaving = k.leaving
		take(s)
	})
	if !posted {
		take(Standing{})
	}
}

// standingOf is where a replica stands; nil: there is no store.
func standingOf(r *Replica) Standing {
	if r == nil {
		return Standing{NoStore: true}
	}
	node := r.Node()
	s := Standing{
		Head: node.Head().GetAddress(), Tail: node.Tail().GetAddress(), Connected: node.Connected(),
		View: node.View().GetNumber(), Committed: node.Committed(), CatchingUp: node.CatchingUp(),
	}
	for _, member := range node.View().Members {
		s.Members = append(s.Members, member.Address)
	}
	for _, member := range node.View().Chain {
		s.Chain = append(s.Chain, member.Address)
	}
	return s
}
