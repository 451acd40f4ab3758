package controlplane

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"marlreel/internal/api"
	"marlreel/internal/controlplane/configuration"
	"marlreel/internal/controlplane/result"
	"marlreel/internal/sockets"
)

// The paths of control's interface for the operator and for backends.
const (
	pathReplace    = "/marlreel/config/replace"
	pathModify     = "/marlreel/config/modify"
	pathRead       = "/marlreel/config/read"
	pathEvacuation = "/marlreel/evacuation/"
	pathBackends   = "/marlreel/backends/"

	verbBegin     = "begin"
	verbTerminate = "terminate"
	verbHeartbeat = "heartbeat"
	verbDetach    = "detach"

	headerBase = "Base-Version"
	// maxConfigurationBytes bounds a configuration.
	maxConfigurationBytes = 16 << 20
)

// failureReply is the body of an answer that is no success.
type failureReply struct {
	Code   result.Code `json:"code"`
	Result string      `json:"result"`
	Cause  string      `json:"error_cause"`
	Advice string      `json:"advice"`
}

// Handle answers a call of the operator or of a backend.
func (s *Service) Handle(ctx *fasthttp.RequestCtx) {
	path, post := string(ctx.Path()), ctx.IsPost()
	switch {
	case post && path == pathReplace:
		s.handleChange(ctx, func(base uint64, body []byte) *api.Operation {
			return &api.Operation{Kind: &api.Operation_Replace{Replace: &api.ReplaceConfiguration{BaseVersion: base, Document: body}}}
		})
	case post && path == pathModify:
		s.handleChange(ctx, func(base uint64, body []byte) *api.Operation {
			return &api.Operation{Kind: &api.Operation_Modify{Modify: &api.ModifyConfiguration{BaseVersion: base, Change: body}}}
		})
	case ctx.IsGet() && path == pathRead:
		s.handleRead(ctx)
	case ctx.IsGet() && path == pathStatus:
		s.handleStatus(ctx)
	case post && strings.HasPrefix(path, pathEvacuation):
		s.handleEvacuation(ctx, strings.TrimPrefix(path, pathEvacuation))
	case post && strings.HasPrefix(path, pathBackends):
		s.handleBackend(ctx, strings.TrimPrefix(path, pathBackends))
	default:
		reject(ctx, result.Errorf(result.UnknownPath, "%s %s", ctx.Method(), path))
	}
}

func reject(ctx *fasthttp.RequestCtx, err *result.Error) {
	ctx.SetStatusCode(err.Code.Status())
	ctx.SetContentType("application/json")
	// A struct of plain fields always marshals.
	body, _ := json.Marshal(failureReply{Code: err.Code, Result: err.Code.String(), Cause: err.Detail, Advice: err.Advice()})
	ctx.SetBody(body)
}

func respond(ctx *fasthttp.RequestCtx, outcome *result.Error) {
	if !outcome.Code.Succeeded() {
		reject(ctx, outcome)
		return
	}
	ctx.SetStatusCode(fasthttp.StatusOK)
	ctx.SetContentType("application/json")
	ctx.SetBodyString("{}")
}

// handleChange takes a configuration, or a handleChange of one.
func (s *Service) handleChange(ctx *fasthttp.RequestCtx, operation func(base uint64, body []byte) *api.Operation) {
	base, err := strconv.ParseUint(string(ctx.Request.Header.Peek(headerBase)), 10, 64)
	if err != nil {
		reject(ctx, result.Errorf(result.InvalidField, "%s: a version is needed", headerBase))
		return
	}
	if !s.callerConnected(ctx) {
		return
	}
	body := append([]byte(nil), ctx.PostBody()...)
	if _, unreadable := configuration.DecodeVersion(body); unreadable != nil {
		reject(ctx, unreadable)
		return
	}
	respond(ctx, s.Order(operation(base, body)))
}

func (s *Service) handleRead(ctx *fasthttp.RequestCtx) {
	reply, err := s.Configuration()
	if err != nil {
		reject(ctx, err)
		return
	}
	ctx.SetContentType("application/json")
	if len(reply.Document) == 0 {
		ctx.SetBodyString("{}")
		return
	}
	ctx.SetBody(reply.Document)
}

// callerConnected tells whether who sent an order still waits for its answer, and answers where not. A process that
// stood still, or was cut off, finds orders whose callers have turned to another process long since, and gone on.
func (s *Service) callerConnected(ctx *fasthttp.RequestCtx) bool {
	if conn := ctx.Conn(); conn == nil || sockets.PeerIsThere(conn) {
		return true
	}
	reject(ctx, result.Errorf(result.Unavailable, "its caller has gone"))
	ctx.SetConnectionClose()
	return false
}

// handleEvacuation takes ZONE/begin and ZONE/terminate.
func (s *Service) handleEvacuation(ctx *fasthttp.RequestCtx, rest string) {
	zone, verb, _ := strings.Cut(rest, "/")
	if verb != verbBegin && verb != verbTerminate || zone == "" {
		reject(ctx, result.Errorf(result.UnknownPath, "evacuation %s", rest))
		return
	}
	if !s.callerConnected(ctx) {
		return
	}
	respond(ctx, s.Order(&api.Operation{Kind: &api.Operation_Evacuation{
		Evacuation: &api.SetEvacuation{Zone: zone, Active: verb == verbBegin},
	}}))
}

// heartbeat is what a backend says of itself.
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

type loadedModel struct {
	Name     string   `json:"name"`
	Version  uint64   `json:"config_version"`
	Adapters []string `json:"adapter_list"`
}

const stateDraining = "draining"

// handleBackend takes ID/heartbeat and ID/detach.
func (s *Service) handleBackend(ctx *fasthttp.RequestCtx, rest string) {
	id, verb, _ := strings.Cut(rest, "/")
	if verb != verbHeartbeat && verb != verbDetach || id == "" {
		reject(ctx, result.Errorf(result.UnknownPath, "backends %s", rest))
		return
	}
	if verb == verbDetach {
		s.handleRetirement(ctx, id)
		return
	}
	var beat heartbeat
	if err := json.Unmarshal(ctx.PostBody(), &beat); err != nil {
		reject(ctx, result.Errorf(result.Malformed, "heartbeat: %v", err))
		return
	}
	if beat.Service == "" || beat.Address == "" {
		reject(ctx, result.Errorf(result.InvalidField, "heartbeat: service and address are needed"))
		return
	}
	s.membership.OnHeartbeat(beat.backend(id))
	if beat.State == stateDraining {
		s.handleRetirement(ctx, id)
		return
	}
	respond(ctx, &result.Error{Code: result.Committed})
	if near := s.membership.peerInZone(beat.Zone); near != "" {
		body, _ := json.Marshal(heartbeatReply{Address: near}) // a struct of plain fields always marshals
		ctx.SetBody(body)
	}
}

// heartbeatReply names an address for a backend's later heartbeats.
type heartbeatReply struct {
	Address string `json:"beat_address"`
}

func (h *heartbeat) backend(id string) *api.Backend {
	b := &api.Backend{
		Id: id, Service: h.Service, Address: h.Address, Zone: h.Zone, Software: h.Software, Slots: h.Slots,
		Draining: h.State == stateDraining, WarmupLeftMs: uint32(max(0, h.WarmupLeftMS)), CallSequence: h.Sequence,
	}
	for _, m := range h.Models {
		b.Models = append(b.Models, &api.LoadedModel{Name: m.Name, Version: m.Version, Adapters: m.Adapters})
	}
	return b
}

// handleRetirement acknowledges a backend's end once that is on more than half of the disks.
func (s *Service) handleRetirement(ctx *fasthttp.RequestCtx, id string) {
	respond(ctx, s.Order(&api.Operation{Kind: &api.Operation_Retire{Retire: &api.RetireBackend{Id: id}}}))
}
