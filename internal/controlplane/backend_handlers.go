package controlplane

import (
	"encoding/json"
	"strings"

	"github.com/valyala/fasthttp"

	"marlreel/internal/api"
	"marlreel/internal/controlplane/result"
)

const (
	verbHeartbeat = "heartbeat"
	verbDetach    = "detach"

	// stateDraining is the state of a backend that accepts no new requests.
	stateDraining = "draining"
)

// heartbeat is the body of a backend's heartbeat request.
type heartbeat struct {
	Service      string        `json:"service"`
	Address      string        `json:"address"`
	Zone         string        `json:"zone"`
	Software     string        `json:"config_version"`
	Slots        uint32        `json:"slots"`
	State        string        `json:"state"`
	WarmupLeftMS float64       `json:"cold_left_ms"`
	Models       []loadedModel `json:"model_list"`
	Sequence     uint64        `json:"call_seq"`
}

// loadedModel is a model that a backend has loaded into memory.
type loadedModel struct {
	Name     string   `json:"name"`
	Version  uint64   `json:"config_version"`
	Adapters []string `json:"adapter_list"`
}

// heartbeatReply tells a backend which address to send its later heartbeats to.
type heartbeatReply struct {
	Address string `json:"beat_address"`
}

// handleBackend handles ID/heartbeat and ID/detach.
func (s *Service) handleBackend(ctx *fasthttp.RequestCtx, target string) {
	id, verb, _ := strings.Cut(target, "/")
	switch {
	case id != "" && verb == verbHeartbeat:
		s.handleHeartbeat(ctx, id)
	case id != "" && verb == verbDetach:
		s.handleRetirement(ctx, id)
	default:
		reject(ctx, result.Errorf(result.UnknownPath, "backends %s", target))
	}
}

// handleHeartbeat handles a backend's heartbeat. A backend that reports that it is draining is retired.
func (s *Service) handleHeartbeat(ctx *fasthttp.RequestCtx, id string) {
	var received heartbeat
	if err := json.Unmarshal(ctx.PostBody(), &received); err != nil {
		reject(ctx, result.Errorf(result.Malformed, "heartbeat: %v", err))
		return
	}
	if received.Service == "" || received.Address == "" {
		reject(ctx, result.Errorf(result.InvalidField, "heartbeat: service and address are needed"))
		return
	}
	s.membership.OnHeartbeat(received.backend(id))
	if received.State == stateDraining {
		s.handleRetirement(ctx, id)
		return
	}
	respond(ctx, &result.Error{Code: result.Committed})
	if address := s.membership.peerInZone(received.Zone); address != "" {
		body, _ := json.Marshal(heartbeatReply{Address: address}) // a struct of plain fields always marshals
		ctx.SetBody(body)
	}
}

// backend converts a heartbeat to the backend that it describes.
func (h *heartbeat) backend(id string) *api.Backend {
	b := &api.Backend{
		Id: id, Service: h.Service, Address: h.Address, Zone: h.Zone, Software: h.Software, Slots: h.Slots,
		Draining: h.State == stateDraining, WarmupLeftMs: uint32(max(0, h.WarmupLeftMS)), CallSequence: h.Sequence,
	}
	for _, model := range h.Models {
		b.Models = append(b.Models, &api.LoadedModel{Name: model.Name, Version: model.Version, Adapters: model.Adapters})
	}
	return b
}

// handleRetirement retires a backend. It acknowledges once the retirement is on the disks of a majority.
func (s *Service) handleRetirement(ctx *fasthttp.RequestCtx, id string) {
	respond(ctx, s.CommitOperation(&api.Operation{Kind: &api.Operation_Retire{Retire: &api.RetireBackend{Id: id}}}))
}
