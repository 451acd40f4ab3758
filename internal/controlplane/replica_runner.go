package controlplane

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	"marlreel/internal/api"
	"marlreel/internal/controlplane/chain"
	"marlreel/internal/controlplane/result"
	"marlreel/internal/controlplane/store"
	"marlreel/internal/distribution/watch"
	"marlreel/internal/process/bootstrap"
	"marlreel/internal/process/host"
	"marlreel/internal/process/logevent"
	"marlreel/internal/process/timing"
)

const (
	// tickInterval is how often the replica checks its timeouts. Raising it delays failure detection and the replies to
	// timed-out operations by as much.
	tickInterval = 30 * time.Millisecond
	// storeReopenDelay is the delay before a failed store is opened again.
	storeReopenDelay = 500 * time.Millisecond
	// leavePollInterval is how often Leave checks whether this process has left the chain.
	leavePollInterval = 20 * time.Millisecond
	// maxPendingEvents bounds the queue of the runner's goroutine. Operations and reads beyond it are rejected;
	// messages are dropped, as their senders retry.
	maxPendingEvents = 1024
)

// ReplicaRunner owns this process's replica and its store: its goroutine opens the store, runs the replica, and reopens
// the store after a failure. All other goroutines access the replica through the methods of the runner, which post
// events to its goroutine.
type ReplicaRunner struct {
	host     *host.Host
	settings *bootstrap.Settings
	config   chain.Config
	sender   Sender
	feed     *watch.Store
	log      logr.Logger
	clock    processClock
	events   chan func()

	// Used by the runner's goroutine only.
	store    *store.Store
	replica  *Replica  // nil while the store is not open
	reopenAt time.Time // the earliest time to open the store again
	leaving  bool      // the process is shutting down
}

// NewReplicaRunner makes a runner, which does nothing until Run is called.
func NewReplicaRunner(machine *host.Host, sender Sender, feed *watch.Store, clock processClock) *ReplicaRunner {
	return &ReplicaRunner{
		host: machine, settings: machine.Settings, config: chain.DefaultConfig(machine.Settings.TargetMembers()),
		sender: sender, feed: feed, log: machine.Log, clock: clock, events: make(chan func(), maxPendingEvents),
	}
}

// Run runs the replica until ctx ends, and closes its store.
func (r *ReplicaRunner) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	defer r.closeStore()
	for {
		select {
		case event := <-r.events:
			event()
		case <-ticker.C:
			r.tick()
		case <-ctx.Done():
			return
		}
	}
}

func (r *ReplicaRunner) tick() {
	if r.replica != nil && r.replica.Failure() != nil {
		r.scheduleReopen()
	}
	if r.replica == nil && !time.Now().Before(r.reopenAt) {
		if err := r.openStore(); err != nil {
			r.log.Error(err, logevent.StoreOpenFailed)
			r.scheduleReopen()
		}
	}
	if r.replica != nil {
		r.replica.Node().SetSeeds(r.settings.SeedPeers())
		r.replica.Tick(r.clock.now())
	}
}

// scheduleReopen closes the store, to be opened again after storeReopenDelay.
func (r *ReplicaRunner) scheduleReopen() {
	r.closeStore()
	r.reopenAt = time.Now().Add(storeReopenDelay)
}

// post queues an event for the runner's goroutine. It returns false if the queue is full.
func (r *ReplicaRunner) post(event func()) bool {
	select {
	case r.events <- event:
		return true
	default:
		return false
	}
}

// Leave takes this process out of the chain. It returns when that is done and the process may stop, or when ctx ends.
func (r *ReplicaRunner) Leave(ctx context.Context) {
	r.post(func() {
		r.leaving = true
		if r.replica != nil {
			r.replica.Leave(r.clock.now())
		}
	})
	for ctx.Err() == nil {
		left, _ := await(ctx, r.hasLeft)
		if left {
			return
		}
		timing.Sleep(ctx, leavePollInterval)
	}
}

// hasLeft passes to answer whether this process has left the chain. It does not call answer if the queue is full.
func (r *ReplicaRunner) hasLeft(answer func(bool)) {
	r.post(func() { answer(r.replica == nil || r.replica.Node().HasLeft()) })
}

// Deliver handles messages from other members. They are dropped if the queue is full.
func (r *ReplicaRunner) Deliver(messages []*api.ChainMessage) {
	r.post(func() {
		if r.replica == nil {
			return
		}
		for _, message := range messages {
			r.replica.Receive(r.clock.now(), message)
		}
	})
}

// Submit submits an operation to the replica, which rejects it unless this process is the head and can propose it
// before the deadline, a time on its clock.
func (r *ReplicaRunner) Submit(operation *api.Operation, deadline time.Duration, reply Reply) {
	posted := r.post(func() {
		if r.replica == nil {
			reply(result.Unavailable, "this process has no store")
			return
		}
		r.replica.Submit(r.clock.now(), operation, deadline, reply)
	})
	if !posted {
		reply(result.Unavailable, "too much waits")
	}
}

// SubmitInView is Submit for an operation that may be proposed in one view only. It does not reply if the store is not
// open or the queue is full: callers decide such operations anew at regular intervals.
func (r *ReplicaRunner) SubmitInView(operation *api.Operation, view uint64, deadline time.Duration, reply Reply) {
	r.post(func() {
		if r.replica != nil {
			r.replica.SubmitInView(r.clock.now(), operation, view, deadline, reply)
		}
	})
}

// ReadAtTail reads the newest state, if this process is the tail.
func (r *ReplicaRunner) ReadAtTail(reply ReadReply) { r.read((*Replica).ReadAtTail, reply) }

// ReadAtHead reads the newest state, if this process is the head.
func (r *ReplicaRunner) ReadAtHead(reply ReadReply) { r.read((*Replica).ReadAtHead, reply) }

func (r *ReplicaRunner) read(read func(*Replica, time.Duration, ReadReply), reply ReadReply) {
	posted := r.post(func() {
		if r.replica == nil {
			reply(result.Unavailable, nil)
			return
		}
		read(r.replica, r.clock.now(), reply)
	})
	if !posted {
		reply(result.Unavailable, nil)
	}
}

// ChainStatus passes the status of the chain to a callback. It is the zero value if the queue is full.
func (r *ReplicaRunner) ChainStatus(answer func(ChainStatus)) {
	posted := r.post(func() {
		status := chainStatusOf(r.replica)
		status.Leaving = r.leaving
		answer(status)
	})
	if !posted {
		answer(ChainStatus{})
	}
}
