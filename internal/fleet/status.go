package fleet

import (
	"fmt"
	"strings"
	"time"

	"marlreel/internal/fleet/agree"
	"marlreel/internal/fleet/peers"
)

// Status is this proxy's part in its fleet, as the control address and the operators' socket show it.
type Status struct {
	Fleet           string         `json:"fleet"`
	Proxy           string         `json:"proxy"`
	Boot            uint64         `json:"boot"` // another number with each process
	AgreeWithin     time.Duration  `json:"agree_within_ns"`
	Versions        []uint64       `json:"versions"`   // in force here
	InForceSince    time.Time      `json:"since"`      // of these versions
	LeaseExpired    bool           `json:"strict"`     // or never granted
	LeaseRemaining  time.Duration  `json:"lease_ns"`   // 0 where it has expired
	AppliedSequence uint64         `json:"held"`       // of the state in force here
	LatestSequence  uint64         `json:"heard"`      // of the newest state known here
	Leader          string         `json:"leader"`     // "" if not known
	KeeperPhase     string         `json:"keeper"`     // of this proxy as a consensus member; "" if it is none
	IsLeader        bool           `json:"leads"`      // this proxy is the leader
	FileDiffers     bool           `json:"differs"`    // this proxy's file from the newest version
	Membership      agree.Lists    `json:"list"`       // that this proxy uses
	RevisionsBehind int64          `json:"behind"`     // by which that membership is below the revision floor
	Joined          bool           `json:"joined"`     // others can reach this proxy
	NameTaken       bool           `json:"taken"`      // another process uses its name
	SentBytes       int64          `json:"sent_bytes"` // to peers
	Members         []peers.Member `json:"members"`
	Holders         []agree.Holder `json:"holders,omitempty"` // at the leader: who may hold a lease, and on which state
	Divergent       []string       `json:"apart,omitempty"`   // at the leader: whose membership differs from this proxy's at the same revision
	State           *agree.State   `json:"view"`              // the newest known here
}

// Status returns this proxy's part in its fleet as it was a few ticks ago at most. It may be called on any goroutine,
// and the result must not be modified.
func (f *Fleet) Status() *Status { return f.status.Load() }

// publish updates the status, and warns of a stale membership and of memberships that diverge.
func (f *Fleet) publish() {
	s := f.currentStatus()
	f.status.Store(s)
	f.warnOfStaleMembership(s.RevisionsBehind)
	if len(s.Divergent) > 0 {
		f.warnOnce("fleet-lists-apart "+strings.Join(s.Divergent, ","), &DivergentMembershipsError{f.membership.Source, f.membership.Revision, s.Divergent})
	}
}

func (f *Fleet) currentStatus() *Status {
	now, state := Now(), f.member.View()
	s := &Status{
		Fleet: f.options.Name, Proxy: f.options.Proxy, Boot: f.cfg.Boot, AgreeWithin: f.options.AgreeWithin.D(),
		Versions: f.appliedVersions(), InForceSince: f.appliedAt, LeaseExpired: !f.member.Valid(now),
		AppliedSequence: f.member.Held(), LatestSequence: state.Seq, Leader: f.member.Leader(),
		Membership: f.membership, RevisionsBehind: f.revisionsBehind(state), Joined: f.peers != nil, State: state,
	}
	if !s.LeaseExpired {
		s.LeaseRemaining = f.member.Until() - now
	}
	if newest, exists := state.Newest(); exists {
		s.FileDiffers = newest.Hash != f.fileHash
	}
	if k := f.keeper; k != nil {
		s.KeeperPhase, s.IsLeader, s.Holders = k.Phase(), k.Leads(), k.Holders()
	}
	s.Divergent = f.divergent(s.Holders)
	if f.peers != nil {
		s.Members, s.SentBytes, s.NameTaken = f.peers.Members(), f.peers.Sent(), f.peers.Taken()
	}
	return s
}

// appliedVersions returns the versions in force here, as in Settings.
func (f *Fleet) appliedVersions() []uint64 {
	if f.applied == nil {
		return nil
	}
	newest, _ := f.applied.Newest()
	if f.applied.Opening() {
		return []uint64{f.applied.Open, newest.Number}
	}
	return []uint64{newest.Number}
}

// revisionsBehind returns by how much the membership lies below its source's revision floor.
func (f *Fleet) revisionsBehind(state *agree.State) int64 {
	if f.membership.Source == "" {
		return 0
	}
	return max(0, state.Floors[f.membership.Source].Revision-f.membership.Revision)
}

// divergent returns the lease holders whose membership differs from this proxy's at one revision of one source, where
// all should be equal.
func (f *Fleet) divergent(holders []agree.Holder) []string {
	var names []string
	for _, holder := range holders {
		theirs, own := holder.Lists, f.membership
		if theirs.Source == own.Source && theirs.Revision == own.Revision && theirs.Hash != own.Hash {
			names = append(names, holder.Name)
		}
	}
	return names
}

// warnOfStaleMembership warns of a membership that stays below the revision floor for longer than agree-within.
func (f *Fleet) warnOfStaleMembership(behind int64) {
	const event = "fleet-list-old"
	switch {
	case behind == 0:
		f.staleSince = time.Time{}
		f.logged[event] = false
	case f.staleSince.IsZero():
		f.staleSince = time.Now()
	case time.Since(f.staleSince) > f.options.AgreeWithin.D():
		f.warnOnce(event, &StaleMembershipError{f.membership.Source, f.membership.Revision, f.membership.Revision + behind})
	}
}

// AppendMetrics appends this proxy's gauges to the lines of /control/counters. It may be called on any goroutine.
func (f *Fleet) AppendMetrics(b []byte) []byte {
	s := f.status.Load()
	newest := uint64(0)
	if len(s.Versions) > 0 {
		newest = s.Versions[len(s.Versions)-1]
	}
	alive := 0
	for _, member := range s.Members {
		if member.State == "alive" {
			alive++
		}
	}
	return fmt.Appendf(b, "proxy.fleet.version:%d|g\nproxy.fleet.strict:%d|g\nproxy.fleet.lease_ms:%d|g\nproxy.fleet.leads:%d|g\nproxy.fleet.alive:%d|g\nproxy.fleet.behind:%d|g\n",
		newest, flag(s.LeaseExpired), s.LeaseRemaining.Milliseconds(), flag(s.IsLeader), alive, s.RevisionsBehind)
}

// flag returns a boolean as a gauge's value.
func flag(set bool) int {
	if set {
		return 1
	}
	return 0
}
