package lease

import (
	"sync"
	"time"

	"marlreel/internal/api"
)

// Manager is what the head of the chain knows of leases beyond the replicated state: which renewals it has answered
// and which grants it has asked for. A lease passes to another holder only when the last renewal of the one before has
// run out. A renewal is confirmed by a majority when it is answered, so a new head waits out whatever the one before it
// may have answered. All methods may be called from any goroutine.
type Manager struct {
	config Config
	now    func() time.Time // on a monotonic clock

	mu     sync.Mutex
	view   uint64            // of which this process was found to be the head; 0: it is not
	leases map[string]*state // by key
}

// state is what the head knows of a lease under its present holder.
type state struct {
	holder    string
	firstSeen time.Time // when this head found the holder; another head may have answered its renewals until then
	granted   time.Time // by this head; zero: it was held before
	renewed   time.Time // the last renewal that was answered; zero: none
	released  bool
	// unresponsive are the holders that did not accept the lease, since one did.
	unresponsive map[string]bool
	// pending is the grant to this holder until it is seen in the replicated state. It may be committed at any moment,
	// so until then nobody else is given the lease, nor is the holder before it answered.
	pending *api.Operation
}

// NewManager makes a manager that knows of no lease. now is a monotonic clock.
func NewManager(config Config, now func() time.Time) *Manager {
	return &Manager{config: config, now: now, leases: map[string]*state{}}
}

// GrantDuration is how long a renewal counts, from before it was asked for.
func (m *Manager) GrantDuration() time.Duration { return m.config.GrantDuration }

// OnView handles the view in which this process is found to be the head, or that it is not. What is known of leases is
// forgotten where another process may have been the head since.
func (m *Manager) OnView(view uint64, isHead bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case !isHead:
		m.view = 0
	case m.view == 0 || view > m.view+1:
		clear(m.leases)
		m.view = view
	default:
		m.view = view
	}
}

// Renew renews the leases that a holder has by the replicated state, or releases them, and returns those renewed. A lease
// that was released isn't renewed: the call was made before the release, and came late.
func (m *Manager) Renew(holder string, release bool, ownerships []*api.Ownership) []*api.Ownership {
	m.mu.Lock()
	defer m.mu.Unlock()
	var renewed []*api.Ownership
	for _, ownership := range ownerships {
		if ownership.Holder != holder || m.transferPending(ownership.Key, ownership) {
			continue
		}
		lease := m.onOwnership(ownership)
		if lease.released && !release {
			continue
		}
		lease.renewed, lease.released = m.now(), release
		lease.unresponsive = nil
		if !release {
			renewed = append(renewed, ownership)
		}
	}
	return renewed
}

// onOwnership returns what is known of a lease under its holder by the replicated state. Called with the lock.
func (m *Manager) onOwnership(ownership *api.Ownership) *state {
	lease := m.leases[ownership.Key]
	if lease == nil || lease.holder != ownership.Holder {
		lease = &state{holder: ownership.Holder, firstSeen: m.now()}
		m.leases[ownership.Key] = lease
	}
	if lease.pending != nil { // it was committed
		lease.pending, lease.granted = nil, m.now()
	}
	return lease
}

// transferPending reports whether a grant is under way that takes a lease from its holder by the replicated state, or
// from nobody. Called with the lock.
func (m *Manager) transferPending(key string, ownership *api.Ownership) bool {
	lease := m.leases[key]
	if lease == nil || lease.pending == nil || lease.holder == ownership.GetHolder() {
		return false
	}
	return lease.pending.GetGrant().GetReplacesFencingToken() == ownership.GetFencingToken()
}
