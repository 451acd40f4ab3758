package gateway

import (
	"math/rand/v2"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"marlreel/internal/balancer"
	"marlreel/internal/controlplane/configuration"
	"marlreel/internal/engine"
	"marlreel/internal/httpproxy"
)

const (
	// unknownYet is when clients of a proxy that knows nothing should come again.
	unknownYet = time.Second
	// pathReady is where the platform asks whether clients can be sent here.
	pathReady = "/marlreel/ready"
)

// call is a request in hand.
type call struct {
	engine.Call
	aim     time.Duration      // by when it is to be answered, from its arrival on
	held    bool               // a backend held its model and adapter when it came
	answers chan engine.Answer // has room for the one answer
}

// Answer implements engine.Front.
func (c *call) Answer(_ *engine.Call, a engine.Answer) {
	if reply, is := a.Reply.(*httpproxy.Reply); is {
		reply.Claim()
	}
	c.answers <- a
}

// newCall makes a call of a request.
func newCall(s *service, route *configuration.Route, message *httpproxy.Message, needs *balancer.Needs, work time.Duration) *call {
	book := s.engine.Book()
	class, known := book.Classes[className(route)]
	if !known {
		return nil
	}
	c := &call{answers: make(chan engine.Answer, 1), aim: book.Settings.Classes[class].Aim, held: true}
	c.Call = engine.Call{
		Request: balancer.Request{Class: class, Cost: work, Needs: needs}, Carrier: s.carrier, Book: book,
		Payload: message, Front: c,
	}
	return c
}

// Handle answers a client's request.
func (g *Gateway) Handle(ctx *fasthttp.RequestCtx) {
	arrived := time.Now()
	if g.quits.Load() {
		ctx.SetConnectionClose()
	}
	p := g.plan.Load()
	if g.shut.Load() {
		refuse(ctx, unknownYet/10)
		return
	}
	if p.document == nil {
		refuse(ctx, unknownYet)
		return
	}
	header := &ctx.Request.Header
	route := p.document.Match(string(header.Host()), string(ctx.Path()))
	if route == nil {
		ctx.Error("no such route", fasthttp.StatusNotFound)
		return
	}
	if len(header.Peek(headerRequestID)) == 0 {
		ctx.Error(headerRequestID+" is needed", fasthttp.StatusBadRequest)
		return
	}
	s := p.services[route.ChooseService(rand.Float64())]
	if s == nil {
		refuse(ctx, unknownYet)
		return
	}
	needs, work := needsOf(header)
	message := newMessage(ctx, route)
	c := newCall(s, route, message, needs, work)
	if c == nil { // the service's engine has the plan's classes in a moment
		refuse(ctx, unknownYet/10)
		return
	}
	if needs != nil && s.engines {
		key := demandKey{s.name, needs.Model, needs.Adapter}
		g.demand.asked(key, work, c.aim)
		if c.held = p.held[key]; !c.held {
			defer g.demand.waits(key)()
		}
	}
	e := &exchange{
		gateway: g, service: s, route: route, message: message, needs: needs, work: work,
		deadline: arrived.Add(remaining(header, route)), client: ctx.Conn(),
	}
	g.finish(ctx, e, e.run(c))
}

// finish words the answer.
func (g *Gateway) finish(ctx *fasthttp.RequestCtx, e *exchange, a engine.Answer) {
	reply, _ := a.Reply.(*httpproxy.Reply)
	switch {
	case a.Verdict == engine.Left:
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(net.Conn) {})
	case reply != nil && (a.Verdict == engine.Served || a.Verdict == engine.Failed):
		g.pass(ctx, e, reply)
	case a.Verdict == engine.Refused, a.Verdict == engine.Overloaded:
		refuse(ctx, a.RetryAfter)
	case a.Verdict == engine.OutOfTime:
		ctx.Error("out of time", fasthttp.StatusGatewayTimeout)
	case a.Verdict == engine.InUse:
		ctx.Error(headerRequestID+" is in use", fasthttp.StatusConflict)
	default:
		ctx.Error("failed", fasthttp.StatusBadGateway)
	}
}

// refuse says that nothing ran and when to come again.
func refuse(ctx *fasthttp.RequestCtx, after time.Duration) {
	ctx.Error("refused", fasthttp.StatusServiceUnavailable)
	if after > 0 {
		ctx.Response.Header.Set(headerRetryAfter, strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
}

// pass hands a backend's answer on.
func (g *Gateway) pass(ctx *fasthttp.RequestCtx, e *exchange, reply *httpproxy.Reply) {
	ctx.SetStatusCode(reply.Status())
	for key, values := range reply.Header() {
		for _, value := range values {
			ctx.Response.Header.Add(key, value)
		}
	}
	if !reply.Streams() {
		ctx.Response.SetBodyRaw(reply.Body())
		reply.Release(g.room, true)
		return
	}
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStream(newEvents(e, reply), -1)
}

// ServeReadiness answers the platform's question.
func (g *Gateway) ServeReadiness(ctx *fasthttp.RequestCtx) {
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
