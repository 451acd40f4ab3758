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

// The paths of the HTTP interface for operators and backends.
const (
	pathReplace    = "/marlreel/config/replace"
	pathModify     = "/marlreel/config/modify"
	pathRead       = "/marlreel/config/read"
	pathStatus     = "/marlreel/status"
	pathQuotas     = "/marlreel/quotas"
	pathEvacuation = "/marlreel/evacuation/"
	pathBackends   = "/marlreel/backends/"

	verbBegin     = "begin"
	verbTerminate = "terminate"

	headerBase = "Base-Version"
	// maxConfigurationBytes bounds the body of a request, which may be a configuration.
	maxConfigurationBytes = 16 << 20
)

const contentTypeJSON = "application/json"

// failureReply is the body of an error response.
type failureReply struct {
	Code   result.Code `json:"code"`
	Result string      `json:"result"`
	Cause  string      `json:"error_cause"`
	Advice string      `json:"advice"`
}

// Handle answers the request of an operator or a backend.
func (s *Service) Handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case ctx.IsPost():
		s.handlePost(ctx, path)
	case ctx.IsGet() && path == pathRead:
		s.handleRead(ctx)
	case ctx.IsGet() && path == pathStatus:
		s.handleStatus(ctx)
	case ctx.IsGet() && path == pathQuotas:
		s.handleQuotas(ctx)
	default:
		rejectPath(ctx, path)
	}
}

func (s *Service) handlePost(ctx *fasthttp.RequestCtx, path string) {
	switch {
	case path == pathReplace:
		s.handleChange(ctx, replaceOperation)
	case path == pathModify:
		s.handleChange(ctx, modifyOperation)
	case strings.HasPrefix(path, pathEvacuation):
		s.handleEvacuation(ctx, strings.TrimPrefix(path, pathEvacuation))
	case strings.HasPrefix(path, pathBackends):
		s.handleBackend(ctx, strings.TrimPrefix(path, pathBackends))
	default:
		rejectPath(ctx, path)
	}
}

func replaceOperation(base uint64, document []byte) *api.Operation {
	return &api.Operation{Kind: &api.Operation_Replace{Replace: &api.ReplaceConfiguration{BaseVersion: base, Document: document}}}
}

func modifyOperation(base uint64, change []byte) *api.Operation {
	return &api.Operation{Kind: &api.Operation_Modify{Modify: &api.ModifyConfiguration{BaseVersion: base, Change: change}}}
}

// respond answers with the outcome of an operation.
func respond(ctx *fasthttp.RequestCtx, outcome *result.Error) {
	if !outcome.Code.Succeeded() {
		reject(ctx, outcome)
		return
	}
	respondJSON(ctx, []byte("{}"))
}

func respondJSON(ctx *fasthttp.RequestCtx, body []byte) {
	ctx.SetStatusCode(fasthttp.StatusOK)
	ctx.SetContentType(contentTypeJSON)
	ctx.SetBody(body)
}

// reject answers with an error.
func reject(ctx *fasthttp.RequestCtx, err *result.Error) {
	ctx.SetStatusCode(err.Code.Status())
	ctx.SetContentType(contentTypeJSON)
	// A struct of plain fields always marshals.
	body, _ := json.Marshal(failureReply{Code: err.Code, Result: err.Code.String(), Cause: err.Detail, Advice: err.Advice()})
	ctx.SetBody(body)
}

func rejectPath(ctx *fasthttp.RequestCtx, path string) {
	reject(ctx, result.Errorf(result.UnknownPath, "%s %s", ctx.Method(), path))
}

// handleChange commits a new configuration, or a change of the current one. operation makes the operation from the
// request's body and the version that it is based on.
func (s *Service) handleChange(ctx *fasthttp.RequestCtx, operation func(base uint64, body []byte) *api.Operation) {
	base, err := strconv.ParseUint(string(ctx.Request.Header.Peek(headerBase)), 10, 64)
	if err != nil {
		reject(ctx, result.Errorf(result.InvalidField, "%s: a version is needed", headerBase))
		return
	}
	if !callerConnected(ctx) {
		rejectDisconnected(ctx)
		return
	}
	body := append([]byte(nil), ctx.PostBody()...)
	if _, unreadable := configuration.DecodeVersion(body); unreadable != nil {
		reject(ctx, unreadable)
		return
	}
	respond(ctx, s.CommitOperation(operation(base, body)))
}

func (s *Service) handleRead(ctx *fasthttp.RequestCtx) {
	reply, err := s.Configuration()
	switch {
	case err != nil:
		reject(ctx, err)
	case len(reply.Document) == 0:
		respondJSON(ctx, []byte("{}"))
	default:
		respondJSON(ctx, reply.Document)
	}
}

// callerConnected reports whether the caller of an operation is still connected. A process that was suspended, or cut
// off from the network, finds requests whose callers have long since switched to another process and moved on.
func callerConnected(ctx *fasthttp.RequestCtx) bool {
	conn := ctx.Conn()
	return conn == nil || sockets.PeerConnected(conn)
}

func rejectDisconnected(ctx *fasthttp.RequestCtx) {
	reject(ctx, result.Errorf(result.Unavailable, "its caller has gone"))
	ctx.SetConnectionClose()
}

// handleEvacuation handles ZONE/begin and ZONE/terminate.
func (s *Service) handleEvacuation(ctx *fasthttp.RequestCtx, target string) {
	zone, verb, _ := strings.Cut(target, "/")
	if zone == "" || !isEvacuationVerb(verb) {
		reject(ctx, result.Errorf(result.UnknownPath, "evacuation %s", target))
		return
	}
	if !callerConnected(ctx) {
		rejectDisconnected(ctx)
		return
	}
	respond(ctx, s.CommitOperation(&api.Operation{Kind: &api.Operation_Evacuation{
		Evacuation: &api.SetEvacuation{Zone: zone, Active: verb == verbBegin},
	}}))
}

func isEvacuationVerb(verb string) bool { return verb == verbBegin || verb == verbTerminate }
