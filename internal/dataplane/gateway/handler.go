package gateway

import (
	"math/rand/v2"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"marlreel/internal/dataplane/engine"
	"marlreel/internal/dataplane/httpproxy"
)

const (
	// noStateRetryAfter is the Retry-After of a proxy that has no state yet.
	noStateRetryAfter = time.Second
	// updateRetryAfter is the Retry-After while a state is being applied, or when the proxy is about to stop.
	updateRetryAfter = noStateRetryAfter / 10
	// pathReady is the path of the platform's readiness check.
	pathReady = "/marlreel/ready"
)

// HandleRequest answers a client's request.
func (g *Gateway) HandleRequest(ctx *fasthttp.RequestCtx) {
	arrived := time.Now()
	table := g.table.Load()
	if g.closing.Load() {
		reject(ctx, updateRetryAfter)
		return
	}
	if table.document == nil {
		reject(ctx, noStateRetryAfter)
		return
	}
	header := &ctx.Request.Header
	route := table.document.Match(string(header.Host()), string(ctx.Path()))
	if route == nil {
		ctx.Error("no such route", fasthttp.StatusNotFound)
		return
	}
	tenant, authorized := authenticate(table.document, route, header.PeekAll(headerAuthorization))
	if !authorized {
		g.refusals.record(refusedUnauthenticated)
		ctx.Error("a known key is needed", fasthttp.StatusUnauthorized)
		ctx.Response.Header.Set(headerAuthenticate, bearerScheme)
		return
	}
	if len(header.Peek(headerRequestID)) == 0 {
		ctx.Error(headerRequestID+" is needed", fasthttp.StatusBadRequest)
		return
	}
	s := table.services[route.ChooseService(rand.Float64())]
	if s == nil {
		reject(ctx, noStateRetryAfter)
		return
	}
	g.proxyRequest(ctx, table, &clientRequest{
		gateway: g, service: s, route: route, tenant: tenant, deadline: arrived.Add(timeout(header, route)), client: ctx.Conn(),
	})
}

// proxyRequest sends a request to a backend of its service, and its answer to the client.
func (g *Gateway) proxyRequest(ctx *fasthttp.RequestCtx, table *routingTable, r *clientRequest) {
	r.needs, r.work = parseNeeds(&ctx.Request.Header)
	r.message = newMessage(ctx, r.route, r.tenant)
	c := newCall(r.service, r.route, r.message, r.needs, r.work)
	if c == nil { // the service's engine has not applied the table's classes yet
		reject(ctx, updateRetryAfter)
		return
	}
	if !r.acquireQuota(ctx) {
		return
	}
	if r.needs != nil && r.service.servesModels {
		key := modelKey{r.service.name, r.needs.Model, r.needs.Adapter}
		g.demand.recordRequest(key, r.work, c.latencyTarget)
		c.modelLoaded = table.loaded[key]
		if !c.modelLoaded {
			defer g.demand.recordWaiting(key)()
		}
	}
	answer := r.execute(c)
	r.refundQuota()
	g.writeAnswer(ctx, r, answer)
}

// writeAnswer writes the engine's answer to the client.
func (g *Gateway) writeAnswer(ctx *fasthttp.RequestCtx, r *clientRequest, a engine.Answer) {
	reply, _ := a.Reply.(*httpproxy.Reply)
	switch {
	case a.Verdict == engine.ClientGone:
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(net.Conn) {})
	case reply != nil && (a.Verdict == engine.Served || a.Verdict == engine.Failed):
		g.writeReply(ctx, r, reply)
	case a.Verdict == engine.Rejected, a.Verdict == engine.Overloaded:
		reject(ctx, a.RetryAfter)
	case a.Verdict == engine.TimedOut:
		ctx.Error("out of time", fasthttp.StatusGatewayTimeout)
	case a.Verdict == engine.DuplicateID:
		ctx.Error(headerRequestID+" is in use", fasthttp.StatusConflict)
	default:
		ctx.Error("failed", fasthttp.StatusBadGateway)
	}
}

// reject answers 503: nothing was executed, and the client may retry after the given time.
func reject(ctx *fasthttp.RequestCtx, after time.Duration) {
	refuse(ctx, fasthttp.StatusServiceUnavailable, after)
}

// refuse answers with a status that promises that nothing was executed (429 or 503), and with Retry-After.
func refuse(ctx *fasthttp.RequestCtx, status int, after time.Duration) {
	ctx.Error("refused", status)
	if after > 0 {
		ctx.Response.Header.Set(headerRetryAfter, strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
}

// writeReply writes a backend's answer to the client.
func (g *Gateway) writeReply(ctx *fasthttp.RequestCtx, r *clientRequest, reply *httpproxy.Reply) {
	ctx.SetStatusCode(reply.Status())
	for key, values := range reply.Header() {
		for _, value := range values {
			ctx.Response.Header.Add(key, value)
		}
	}
	if !reply.Streaming() {
		ctx.Response.SetBodyRaw(reply.Body())
		reply.Release(g.memory, true)
		return
	}
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStream(newEventStream(r, reply), -1)
}

// HandleReadiness answers the platform's readiness check.
func (g *Gateway) HandleReadiness(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != pathReady {
		ctx.Error("no such path", fasthttp.StatusNotFound)
		return
	}
	if !g.Ready() {
		ctx.Error("not ready", fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.SetStatusCode(fasthttp.StatusOK)
}
