package agree

import (
	"cmp"
	"encoding/binary"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
)

// The leader's duties besides replicating the log: leases, opening of versions, proposals, and changes of keepers.

// maxLease returns the longest time on this keeper's clock for which a granted lease may last, as both clocks may be
// wrong by Drift.
func (c *Config) maxLease() time.Duration { return share(c.Lease(), (1+Drift)/(1-Drift)) }

// renew accepts a member's renewal. It is answered once a majority has confirmed, after the request arrived, that this
// keeper leads. Danger: without that, a leader partitioned from the others would go on granting leases on a state that
// they have replaced.
func (k *Keeper) renew(from string, r Renew) {
	if !k.leads || k.phase != live {
		leader := ""
		if k.node != nil && k.phase == live {
			leader = k.names[k.node.BasicStatus().Lead]
		}
		if leader == k.cfg.Name {
			leader = ""
		}
		k.send(from, Message{Grant: &Grant{N: r.N, Boot: r.Boot, Leader: leader}})
		return
	}
	if r.Within != k.cfg.Within {
		// Danger: a holder that counts its lease longer than the leader does would still use a state after the leader
		// considers all leases on it expired.
		if !k.withinMismatch[from] && len(k.withinMismatch) < 512 {
			k.withinMismatch[from] = true
			k.log("fleet-within-differs", "%s has agree-within = %v, this keeper %v: it gets no lease until the values are equal", from, r.Within, k.cfg.Within)
		}
		k.send(from, Message{Grant: &Grant{N: r.N, Boot: r.Boot}})
		return
	}
	if len(k.renewals) < maxPending {
		k.renewals = append(k.renewals, renewal{from: from, renew: r})
	}
}

// tickLeader does the leader's work of a tick.
func (k *Keeper) tickLeader() {
	if len(k.renewals) > 0 && len(k.reads) < 64 {
		k.lastRead++
		k.reads[k.lastRead], k.renewals = k.renewals, nil
		k.node.ReadIndex(binary.BigEndian.AppendUint64(nil, k.lastRead))
	}
	for id, h := range k.holders {
		if k.now >= h.until {
			delete(k.holders, id)
		}
	}
	if len(k.reads) > 32 { // drop the oldest reads that were never confirmed, as at a new leader: members retry
		for _, n := range slices.Sorted(maps.Keys(k.reads))[:16] {
			delete(k.reads, n)
		}
	}
	k.open()
	k.proposeListChanges()
	k.addConfiguredKeepers()
	k.processSeatRequests()
	for _, id := range slices.Sorted(maps.Keys(k.pending)) {
		k.decide(id)
	}
}

// confirmed answers the requests that arrived before a majority confirmed that this keeper leads.
func (k *Keeper) confirmed(r raft.ReadState) {
	n := binary.BigEndian.Uint64(r.RequestCtx)
	asked := k.reads[n]
	delete(k.reads, n)
	if !k.leads || r.Index > k.applied {
		return
	}
	for _, a := range asked {
		if a.read != "" {
			v, _ := k.state.Newest()
			k.send(a.from, Message{Result: &Result{ID: a.read, Version: v.Number, By: v.By}})
			continue
		}
		g := Grant{N: a.renew.N, Boot: a.renew.Boot, Seq: k.state.Seq}
		if a.renew.Have != k.state.Seq || a.renew.Born != k.state.Born {
			g.State = k.state
		}
		held := a.renew.Held
		if a.renew.Born != k.state.Born {
			held = 0
		}
		k.holders[a.renew.Boot] = holder{a.from, held, k.now + k.cfg.maxLease(), a.renew.List}
		k.send(a.from, Message{Grant: &g})
	}
	k.open()
}

// olderStatesUnused reports whether no member can still use a state from before the last decided or opened version:
// each process that may hold a lease has reported that this state or a later one is in force there, or the longest
// possible lease has expired since.
func (k *Keeper) olderStatesUnused() bool {
	if k.now-k.lastStep >= k.cfg.maxLease() {
		return true
	}
	if k.now-k.leaderSince < k.cfg.maxLease() {
		return false // an earlier leader may have granted leases that this one does not know
	}
	for _, h := range k.holders {
		if k.now < h.until && h.held < k.state.Step {
			return false
		}
	}
	return true
}

// open proposes to open the newest version once no member can be using the previous version alone.
func (k *Keeper) open() {
	v, exists := k.state.Newest()
	if exists && k.state.Opening() && k.openProposed != v.Number && k.olderStatesUnused() && k.propose(Change{Kind: "open", Version: v.Number}) {
		k.openProposed = v.Number
	}
}

func (k *Keeper) propose(c Change) bool {
	data, err := json.Marshal(c)
	return err == nil && k.node.Propose(data) == nil
}

// handleProposal handles a proposal, a report on a list, or a question to the leader.
func (k *Keeper) handleProposal(from string, c Change) {
	switch {
	case !k.leads:
	case c.Kind == "holders":
		k.send(from, Message{Result: &Result{ID: c.ID, Holders: k.Holders()}})
	case c.Kind == "read":
		if len(k.renewals) < maxPending {
			k.renewals = append(k.renewals, renewal{from: from, read: c.ID})
		}
	case c.Kind == "told" || c.Kind == "reset":
		if len(k.listChanges) < maxPending {
			k.listChanges = append(k.listChanges, c)
		}
		if c.Kind == "told" {
			k.proposeListChanges()
		}
	case c.Kind == "propose" && c.ID != "":
		if p, exists := k.pending[c.ID]; exists { // a retry
			p.from = from
			k.pending[c.ID] = p
			return
		}
		r := k.state.clone().propose(c)
		if v, exists := k.state.Newest(); exists && r.Refused == "" && !r.Same && !k.olderStatesUnused() {
			// Danger: members that still use the version before the newest would make it three versions in use.
			r = Result{Refused: Busy, By: v.By, Version: v.Number}
		}
		if r.Refused != "" || r.Same {
			r.ID = c.ID
			k.send(from, Message{Result: &r})
			return
		}
		if err := k.check(c.Text); err != nil {
			k.send(from, Message{Result: &Result{ID: c.ID, Refused: err.Error(), By: k.cfg.Name}})
			return
		}
		if len(k.pending) >= 64 {
			return
		}
		p := pending{from: from, change: c, at: k.ticks, checks: map[string]bool{k.cfg.Name: true}}
		k.pending[c.ID] = p
		for _, n := range k.others() {
			k.send(n, Message{Check: &Check{ID: c.ID, Text: c.Text}})
		}
		k.decide(c.ID)
	}
}

// handleChecked handles another keeper's verdict on a proposal.
func (k *Keeper) handleChecked(from string, a Checked) {
	p, exists := k.pending[a.ID]
	if !exists || p.sent {
		return
	}
	if a.Bad != "" {
		delete(k.pending, a.ID)
		k.send(p.from, Message{Result: &Result{ID: a.ID, Refused: a.Bad, By: from}})
		return
	}
	p.checks[from] = true
	k.decide(a.ID)
}

// decide proposes a change to the log once all keepers have accepted it, or once a majority has and the others have not
// answered within checkTicks.
func (k *Keeper) decide(id string) {
	p, exists := k.pending[id]
	if !exists {
		return
	}
	if k.ticks-p.at > 20*electionTicks { // the proposer has sent it again by now, or has given up
		delete(k.pending, id)
		return
	}
	seats := max(1, len(k.state.Keepers))
	if p.sent || len(p.checks) < seats && (len(p.checks) <= seats/2 || k.ticks-p.at < checkTicks) {
		return
	}
	p.sent = k.propose(p.change)
	k.pending[id] = p
}

// proposeListChanges proposes the waiting reports on lists, merged by source, while no earlier ones are in flight: a
// drain that 300 proxies report at once takes one log entry or two.
func (k *Keeper) proposeListChanges() {
	if k.listChangeInFlight || len(k.listChanges) == 0 {
		return
	}
	trial, bySource := k.state.clone(), map[string]*Change{}
	for _, c := range k.listChanges {
		if c.Kind == "reset" {
			k.propose(c)
			continue
		}
		if f := trial.Floors[c.Source]; c.Floor.History != f.History {
			continue
		}
		before := trial.Seq
		if trial.apply(before+1, c); trial.Seq == before {
			continue // others have reported the same
		}
		sum := bySource[c.Source]
		if sum == nil {
			bySource[c.Source] = &c
			continue
		}
		sum.Floor.Revision = max(sum.Floor.Revision, c.Floor.Revision)
		sum.Ends = append(sum.Ends, c.Ends...)
	}
	k.listChanges = nil
	for _, source := range slices.Sorted(maps.Keys(bySource)) {
		k.listChangeInFlight = k.propose(*bySource[source]) || k.listChangeInFlight
	}
}

// addConfiguredKeepers adds the other keepers of the configuration file while the fleet is being founded, before any
// version is decided.
func (k *Keeper) addConfiguredKeepers() {
	if _, exists := k.state.Newest(); exists || len(k.state.Keepers) >= len(k.cfg.Keepers) {
		return
	}
	for _, n := range k.cfg.Keepers {
		if h, exists := k.emptyKeepers[n]; exists && k.seatOf(n) == 0 {
			if k.ticks-k.lastSeatTick >= electionTicks { // raft allows one membership change at a time
				k.lastSeatTick = k.ticks
				k.proposeKeeperChange(Seat{n, h.ID}, true, "")
			}
			return
		}
		if k.seatOf(n) == 0 && k.ticks%helloTicks == 0 {
			k.send(n, Message{Invite: true})
		}
	}
}

// Complete reports whether the first version may be proposed: all keepers of the configuration file are seated, or a
// version has been decided.
func (k *Keeper) Complete() bool {
	_, exists := k.state.Newest()
	return exists || len(k.state.Keepers) >= len(k.cfg.Keepers)
}

func (k *Keeper) seatOf(name string) uint64 {
	for _, s := range k.state.Keepers {
		if s.Name == name {
			return s.ID
		}
	}
	return 0
}

// proposeKeeperChange proposes to add or remove a keeper. A keeper of the same name with another identity is removed in
// the same step.
func (k *Keeper) proposeKeeperChange(s Seat, add bool, id string) bool {
	seats := slices.DeleteFunc(slices.Clone(k.state.Keepers), func(x Seat) bool { return x.Name == s.Name })
	var steps []*pb.ConfChangeSingle
	if old := k.seatOf(s.Name); old != 0 && old != s.ID {
		steps = append(steps, &pb.ConfChangeSingle{Type: pb.ConfChangeRemoveNode.Enum(), NodeId: new(old)})
	}
	if add {
		steps = append(steps, &pb.ConfChangeSingle{Type: pb.ConfChangeAddNode.Enum(), NodeId: new(s.ID)})
		seats = append(seats, s)
		k.names[s.ID] = s.Name
	}
	slices.SortFunc(seats, func(a, b Seat) int { return cmp.Compare(a.Name, b.Name) })
	context, err := json.Marshal(Change{Kind: "keepers", ID: id, Keepers: seats})
	if err != nil {
		return false
	}
	return k.node.ProposeConfChange(&pb.ConfChangeV2{Changes: steps, Context: context}) == nil
}

// handleSeatRequest handles an operator's request to add or remove a keeper.
func (k *Keeper) handleSeatRequest(from string, a SeatAsk) {
	refuse := func(why string) {
		k.send(from, Message{Result: &Result{ID: a.ID, Refused: why, By: k.cfg.Name}})
	}
	switch {
	case !k.leads:
	case !a.Add && k.seatOf(a.Name) == 0:
		refuse(a.Name + " is no keeper")
	case !a.Add && len(k.state.Keepers) <= 1:
		refuse("it is the only keeper")
	case a.Add && len(k.state.Keepers) >= 7 && k.seatOf(a.Name) == 0:
		refuse("there are 7 keepers already: each more makes every decision slower")
	default:
		if len(k.seatRequests) >= 16 {
			return
		}
		delete(k.emptyKeepers, a.Name) // it has to send a new Hello
		k.pending[a.ID] = pending{from: from, at: k.ticks, sent: true}
		k.seatRequests = append(k.seatRequests, seatAsk{from, a, k.ticks})
		if a.Add {
			k.send(a.Name, Message{Invite: true})
		}
	}
}

// processSeatRequests carries out operators' requests to add or remove keepers. A proxy is added once it has shown an
// empty disk.
func (k *Keeper) processSeatRequests() {
	k.seatRequests = slices.DeleteFunc(k.seatRequests, func(s seatAsk) bool {
		late := k.ticks-s.at > 10*electionTicks
		if s.ask.Add {
			h, exists := k.emptyKeepers[s.ask.Name]
			if !exists && !late {
				if (k.ticks-s.at)%helloTicks == 0 {
					k.send(s.ask.Name, Message{Invite: true})
				}
				return false
			}
			if !exists {
				delete(k.pending, s.ask.ID)
				k.send(s.from, Message{Result: &Result{ID: s.ask.ID, By: k.cfg.Name, Refused: s.ask.Name + " shows no new disk: it has none, can't be reached, or keeps the log already"}})
				return true
			}
			return k.proposeKeeperChange(Seat{s.ask.Name, h.ID}, true, s.ask.ID)
		}
		return late || k.proposeKeeperChange(Seat{s.ask.Name, 0}, false, s.ask.ID)
	})
}
