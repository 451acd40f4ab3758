package fleet

import (
	"fmt"
	"strings"
	"time"

	"marlreel/internal/fleet/agree"
	"marlreel/internal/fleet/peers"
)

// Status is how this proxy stands in its fleet, as the door and the operators' socket say it.
type Status struct {
	Fleet    string         `json:"fleet"`
	Proxy    string         `json:"proxy"`
	Boot     uint64         `json:"boot"`
	Within   time.Duration  `json:"agree_within_ns"`
	Versions []uint64       `json:"versions"` // in force here
	Since    time.Time      `json:"since"`    // when they came into force here
	Strict   bool           `json:"strict"`   // no lease runs
	LeaseFor time.Duration  `json:"lease_ns"` // what is left of it
	Held     uint64         `json:"held"`     // the state in force
	Heard    uint64         `json:"heard"`    // the newest state heard
	Leader   string         `json:"leader"`   // "" is not known
	Keeper   string         `json:"keeper"`   // what this proxy is at as a keeper; "" is none
	Leads    bool           `json:"leads"`    // this one leads
	Differs  bool           `json:"differs"`  // this proxy's own file says something else than the newest version
	List     agree.Lists    `json:"list"`     // which list this proxy goes by
	Behind   int64          `json:"behind"`   // by how many revisions that list lies under the fleet's floor
	Joined   bool           `json:"joined"`   // it can be reached by others
	Taken    bool           `json:"taken"`    // another process uses its name
	Sent     int64          `json:"sent_bytes"`
	Members  []peers.Member `json:"members"`
	Holders  []agree.Holder `json:"holders,omitempty"` // where this one leads: who may hold a lease, and on what
	Apart    []string       `json:"apart,omitempty"`   // where this one leads: whose lists differ at one revision
	View     *agree.State   `json:"view"`
}

// publish makes the status that others read.
func (f *Fleet) publish() {
	now := Now()
	s := &Status{
		Fleet: f.o.Name, Proxy: f.o.Proxy, Boot: f.cfg.Boot, Within: f.o.AgreeWithin.D(), Since: f.ruledAt, Strict: !f.member.Valid(now), Held: f.member.Held(),
		Leader: f.member.Leader(), List: f.lists, Joined: f.peers != nil, View: f.member.View(),
	}
	if !s.Strict {
		s.LeaseFor = f.member.Until() - now
	}
	s.Heard = s.View.Seq
	if f.ruled != nil {
		v, _ := f.ruled.Newest()
		s.Versions = []uint64{v.Number}
		if f.ruled.Opening() {
			s.Versions = []uint64{f.ruled.Open, v.Number}
		}
	}
	if v, some := s.View.Newest(); some {
		s.Differs = v.Hash != f.fileHash
	}
	if floor := s.View.Floors[f.lists.Source]; floor.Revision > f.lists.Revision && f.lists.Source != "" {
		s.Behind = floor.Revision - f.lists.Revision
	}
	if k := f.keeper; k != nil {
		s.Keeper, s.Leads, s.Holders = k.Phase(), k.Leads(), k.Holders()
	}
	// At one revision of one source all have the same list, or some see what others don't.
	for _, h := range s.Holders {
		if h.Lists.Source == f.lists.Source && h.Lists.Revision == f.lists.Revision && h.Lists.Hash != f.lists.Hash {
			s.Apart = append(s.Apart, h.Name)
		}
	}
	if f.peers != nil {
		s.Members, s.Sent, s.Taken = f.peers.Members(), f.peers.Sent(), f.peers.Taken()
	}
	f.status.Store(s)
	// A list that stays under the floor is old: its proxy is told.
	switch {
	case s.Behind == 0:
		f.floorAt = time.Time{}
		f.saidOnce["fleet-list-old"] = false
	case f.floorAt.IsZero():
		f.floorAt = time.Now()
	case time.Since(f.floorAt) > f.o.AgreeWithin.D():
		f.warnOnce("fleet-list-old", &OldListError{f.lists.Source, f.lists.Revision, f.lists.Revision + s.Behind})
	}
	if len(s.Apart) > 0 {
		f.warnOnce("fleet-lists-apart "+strings.Join(s.Apart, ","), &ApartError{f.lists.Source, f.lists.Revision, s.Apart})
	}
}

// Status is how this proxy stands. Any goroutine; what it gives is never changed.
func (f *Fleet) Status() *Status { return f.status.Load() }

// Figures appends this proxy's gauges to what the door tells. Any goroutine.
func (f *Fleet) Figures(b []byte) []byte {
	s := f.status.Load()
	n := func(yes bool) int {
		if yes {
			return 1
		}
		return 0
	}
	newest := uint64(0)
	if len(s.Versions) > 0 {
		newest = s.Versions[len(s.Versions)-1]
	}
	alive := 0
	for _, m := range s.Members {
		if m.State == "alive" {
			alive++
		}
	}
	return fmt.Appendf(b, "proxy.fleet.version:%d|g\nproxy.fleet.strict:%d|g\nproxy.fleet.lease_ms:%d|g\nproxy.fleet.leads:%d|g\nproxy.fleet.alive:%d|g\nproxy.fleet.behind:%d|g\n",
		newest, n(s.Strict), s.LeaseFor.Milliseconds(), n(s.Leads), alive, s.Behind)
}
