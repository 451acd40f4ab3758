package agent

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"marlreel/internal/api"
	"marlreel/internal/controlplane/result"
	"marlreel/internal/process/transport"
)

const (
	// renewEvery is how often a holder renews its roles.
	renewEvery = 400 * time.Millisecond
	// renewTimeout bounds one try.
	renewTimeout = 600 * time.Millisecond
)

// held is a role that this agent holds, while its lease runs.
type held struct {
	fence uint64
	until time.Time // on the steady clock
}

// leases keeps the roles that the chain has given to this agent.
type leases struct {
	holder   string
	controls func() []string
	wanted   func() bool               // whether the feed names this agent as a holder
	await    func(ctx context.Context) // waits for a change of that
	client   *transport.Client
	log      logr.Logger

	mu   sync.Mutex
	held map[string]held
}

// run renews while the feed names this agent, from when it is named on, until ctx ends.
func (l *leases) run(ctx context.Context) {
	ticker := time.NewTicker(renewEvery)
	defer ticker.Stop()
	for at := 0; ctx.Err() == nil; {
		if !l.wanted() {
			l.await(ctx)
			continue
		}
		controls := l.controls()
		if len(controls) == 0 || !l.renew(ctx, controls[at%len(controls)]) {
			at++
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// renew asks once. What is granted runs from before the call.
func (l *leases) renew(ctx context.Context, control string) bool {
	asked := time.Now()
	call, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	reply, err := api.NewControlProtobufClient("http://"+control, l.client).Lease(call, &api.LeaseRequest{Holder: l.holder})
	if err != nil || result.Code(reply.Code) != result.Committed {
		return false
	}
	until := asked.Add(time.Duration(reply.ValidMs) * time.Millisecond)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = map[string]held{}
	for _, o := range reply.Renewed {
		l.held[o.Key] = held{o.FencingToken, until}
	}
	return true
}

// fence gives the token of a role, if this agent holds it at this moment.
func (l *leases) fence(key string) (token uint64, holds bool) {
	h, holds := l.lease(key)
	return h.fence, holds
}

// lease gives the lease of a role, if it runs at this moment.
func (l *leases) lease(key string) (lease held, runs bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h, found := l.held[key]
	return h, found && time.Now().Before(h.until)
}

// count is how many roles this agent holds at this moment.
func (l *leases) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	running := 0
	for _, h := range l.held {
		if time.Now().Before(h.until) {
			running++
		}
	}
	return running
}

// drop gives all roles up.
func (l *leases) drop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = nil
}

// release gives all roles up and tells control, so that others can have them at once.
func (l *leases) release() {
	l.drop()
	if !l.wanted() {
		return
	}
	for _, control := range l.controls() {
		call, cancel := context.WithTimeout(context.Background(), renewTimeout)
		_, err := api.NewControlProtobufClient("http://"+control, l.client).Lease(call, &api.LeaseRequest{Holder: l.holder, Release: true})
		cancel()
		if err == nil {
			return // what is not heard runs out by itself
		}
	}
}
