package lease

import (
	"sync"
	"time"

	"marlreel/internal/api"
)

// Manager holds what the head of the chain knows about leases beyond the replicated state: which renewals it has
// answered and which grants it has requested. A lease is transferred to another holder only after the last renewal of
// the previous holder has expired. A majority confirms each renewal before it is answered, so a new head only has to
// wait for the renewals that its predecessor may have answered until then. Manager is safe for concurrent use.
type Manager struct {
	config Config
	now    func() time.Time // on a monotonic clock

	mu     sync.Mutex
	view   uint64            // the view in which this process is the head; 0 if it is not
	leases map[string]*state // by key
}

// state is what the head knows about a lease under its current holder.
type state struct {
	holder    string
	firstSeen time.Time // when this head first saw the holder; another head may have answered its renewals until then
	granted   time.Time // when this head granted it, later when it saw the grant committed; zero if another head did
	renewed   time.Time // when the last renewal was answered; zero if none was
	released  bool
	// unresponsive are the holders that did not accept the lease since one last did.
	unresponsive map[string]bool
	// pending is the grant to this holder until it is seen in the replicated state. It may be committed at any moment, so
	// until then the lease is granted to no other holder, and renewals of the previous holder are not answered.
	pending *api.Operation
}

// NewManager creates a manager without any lease. now must read a monotonic clock.
func NewManager(config Config, now func() time.Time) *Manager {
	return &Manager{config: config, now: now, leases: map[string]*state{}}
}

// GrantDuration returns how long a renewal is valid, counted from before it was requested.
func (m *Manager) GrantDuration() time.Duration { return m.config.GrantDuration }

// OnView records the view in which this process is the head, or that it is not the head. It discards what is known
// about leases if another process may have been the head in the meantime.
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

// Renew renews or releases the leases that a holder has according to the replicated state, and returns those renewed. A
// released lease isn't renewed, since such a call was made before the release and arrived late.
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

// onOwnership returns what is known about a lease under the holder given by the replicated state. The caller holds the
// lock.
func (m *Manager) onOwnership(ownership *api.Ownership) *state {
	lease := m.leases[ownership.Key]
	if lease == nil || lease.holder != ownership.Holder {
		lease = &state{holder: ownership.Holder, firstSeen: m.now()}
		m.leases[ownership.Key] = lease
	}
	if lease.pending != nil { // the grant was committed
		lease.pending, lease.granted = nil, m.now()
	}
	return lease
}

// transferPending reports whether a grant is pending that replaces the ownership in the replicated state, which may be
// nil. The caller holds the lock.
func (m *Manager) transferPending(key string, ownership *api.Ownership) bool {
	lease := m.leases[key]
	if lease == nil || lease.pending == nil || lease.holder == ownership.GetHolder() {
		return false
	}
	return lease.pending.GetGrant().GetReplacesFencingToken() == ownership.GetFencingToken()
}
