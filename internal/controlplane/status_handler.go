package controlplane

import (
	"context"
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"marlreel/internal/api"
	"marlreel/internal/controlplane/state"
)

// statusTimeout bounds the wait for the chain's status. After it, the status is reported without the chain's fields.
const statusTimeout = 500 * time.Millisecond

// Status is the system as one control process sees it.
type Status struct {
	Node        string          `json:"node"`
	Connected   bool            `json:"connected"` // in service and receiving heartbeats from a majority
	View        uint64          `json:"view"`
	Head        string          `json:"head"`
	Tail        string          `json:"tail"`
	Members     []string        `json:"members"`
	Chain       []string        `json:"chain"`       // the members in the chain, the head first
	Leaving     bool            `json:"leaving"`     // this process is shutting down
	CatchingUp  string          `json:"catching_up"` // the member that this process, the head, is bringing up to date
	Committed   uint64          `json:"committed"`
	Version     uint64          `json:"config_version"`
	Evacuated   []string        `json:"evacuated_zones"`
	Leases      []LeaseStatus   `json:"roles"`
	Nodes       []NodeStatus    `json:"nodes"`
	Subscribers []string        `json:"readers"` // nodes that watch the state at this process
	Backends    []BackendStatus `json:"backends"`
	StoreFailed bool            `json:"store_failed"`
}

// LeaseStatus is a lease and its holder.
type LeaseStatus struct {
	Key          string `json:"key"`
	Holder       string `json:"holder"`
	FencingToken uint64 `json:"fence"`
}

// NodeStatus is a machine that carries traffic.
type NodeStatus struct {
	Name  string `json:"name"`
	Zone  string `json:"zone"`
	AgeMS uint32 `json:"silent_ms"` // since its last call
}

// BackendStatus is a backend as of its last heartbeat.
type BackendStatus struct {
	ID           string   `json:"id"`
	Service      string   `json:"service"`
	Zone         string   `json:"zone"`
	Draining     bool     `json:"draining"`
	WarmupLeftMS uint32   `json:"cold_ms"`
	AgeMS        uint32   `json:"silent_ms"` // since its last heartbeat
	Models       []string `json:"models"`
}

// handleStatus answers with a Status.
func (s *Service) handleStatus(ctx *fasthttp.RequestCtx) {
	timeout, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	body, _ := json.Marshal(s.status(timeout)) // a struct of plain fields always marshals
	respondJSON(ctx, body)
}

// status collects a Status. The fields that come from the replica are left empty if ctx ends first.
func (s *Service) status(ctx context.Context) *Status {
	chain := s.chainStatus(ctx)
	status := &Status{
		Node: s.self, Connected: chain.Connected, View: chain.View, Head: chain.Head, Tail: chain.Tail,
		Members: chain.Members, Chain: chain.Chain, Leaving: chain.Leaving, CatchingUp: chain.CatchingUp,
		Committed: chain.Committed, StoreFailed: chain.StoreFailed,
	}
	s.feed.ReadState(func(machine *state.Machine) {
		status.Version, status.Evacuated = machine.Version(), machine.EvacuatedZones()
		for _, o := range machine.Leases() {
			status.Leases = append(status.Leases, LeaseStatus{Key: o.Key, Holder: o.Holder, FencingToken: o.FencingToken})
		}
	})
	status.Subscribers = s.membership.Subscribers()
	for _, n := range s.feed.Nodes() {
		status.Nodes = append(status.Nodes, NodeStatus{Name: n.Name, Zone: n.Zone, AgeMS: n.AgeMs})
	}
	for _, b := range s.feed.Backends() {
		status.Backends = append(status.Backends, backendStatus(b))
	}
	return status
}

func backendStatus(b *api.Backend) BackendStatus {
	status := BackendStatus{
		ID: b.Id, Service: b.Service, Zone: b.Zone, Draining: b.Draining, WarmupLeftMS: b.WarmupLeftMs, AgeMS: b.AgeMs,
	}
	for _, model := range b.Models {
		status.Models = append(status.Models, model.Name)
	}
	return status
}
