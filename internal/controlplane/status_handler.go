package controlplane

import (
	"context"
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"marlreel/internal/controlplane/state"
)

const pathStatus = "/marlreel/status"

// Status is how things stand, as one control process sees them.
type Status struct {
	Node        string          `json:"node"`
	Connected   bool            `json:"connected"` // in service, and a majority is heard
	View        uint64          `json:"view"`
	Head        string          `json:"head"`
	Tail        string          `json:"tail"`
	Members     []string        `json:"members"`
	Chain       []string        `json:"chain"`       // the members that hold all, the head first
	Leaving     bool            `json:"leaving"`     // this process is about to end
	CatchingUp  string          `json:"catching_up"` // whom this process, the head, brings up to date
	Committed   uint64          `json:"committed"`
	Version     uint64          `json:"config_version"`
	Evacuated   []string        `json:"evacuated_zones"`
	Leases      []LeaseStatus   `json:"roles"`
	Nodes       []NodeStatus    `json:"nodes"`
	Subscribers []string        `json:"readers"` // nodes that read the feed at this process
	Backends    []BackendStatus `json:"backends"`
	StoreFailed bool            `json:"store_failed"`
}

// LeaseStatus is a role and who holds it.
type LeaseStatus struct {
	Key          string `json:"key"`
	Holder       string `json:"holder"`
	FencingToken uint64 `json:"fence"`
}

// NodeStatus is a machine that carries traffic.
type NodeStatus struct {
	Name  string `json:"name"`
	Zone  string `json:"zone"`
	AgeMS uint32 `json:"silent_ms"`
}

// BackendStatus is a backend as it was last heard.
type BackendStatus struct {
	ID           string   `json:"id"`
	Service      string   `json:"service"`
	Zone         string   `json:"zone"`
	Draining     bool     `json:"draining"`
	WarmupLeftMS uint32   `json:"cold_ms"`
	AgeMS        uint32   `json:"silent_ms"`
	Models       []string `json:"models"`
}

// statusTimeout bounds the look at the chain.
const statusTimeout = 500 * time.Millisecond

// handleStatus answers with how things stand.
func (s *Service) handleStatus(ctx *fasthttp.RequestCtx) {
	patience, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	standing := s.chainStatus(patience)
	out := Status{
		Node: s.self, Connected: standing.Connected, View: standing.View, Head: standing.Head, Tail: standing.Tail,
		Members: standing.Members, Chain: standing.Chain, Leaving: standing.Leaving, CatchingUp: standing.CatchingUp, Committed: standing.Committed, StoreFailed: standing.StoreFailed,
	}
	s.feed.ReadState(func(m *state.Machine) {
		out.Version, out.Evacuated = m.Version(), m.EvacuatedZones()
		for _, o := range m.Leases() {
			out.Leases = append(out.Leases, LeaseStatus{Key: o.Key, Holder: o.Holder, FencingToken: o.FencingToken})
		}
	})
	out.Subscribers = s.membership.Subscribers()
	for _, n := range s.feed.Nodes() {
		out.Nodes = append(out.Nodes, NodeStatus{Name: n.Name, Zone: n.Zone, AgeMS: n.AgeMs})
	}
	for _, b := range s.feed.Backends() {
		status := BackendStatus{ID: b.Id, Service: b.Service, Zone: b.Zone, Draining: b.Draining, WarmupLeftMS: b.WarmupLeftMs, AgeMS: b.AgeMs}
		for _, m := range b.Models {
			status.Models = append(status.Models, m.Name)
		}
		out.Backends = append(out.Backends, status)
	}
	ctx.SetContentType("application/json")
	body, _ := json.Marshal(out) // a struct of plain fields always marshals
	ctx.SetBody(body)
}
