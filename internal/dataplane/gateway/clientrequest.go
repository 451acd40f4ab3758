package gateway

import (
	"net"
	"time"

	"marlreel/internal/balancer"
	"marlreel/internal/controlplane/configuration"
	"marlreel/internal/dataplane/engine"
	"marlreel/internal/dataplane/httpproxy"
)

// call is a request as passed to the engine. Resuming a stream takes another call.
type call struct {
	engine.Call
	latencyTarget time.Duration      // from its arrival on
	modelLoaded   bool               // a backend had its model and adapter loaded when it arrived
	neverRan      bool               // no backend can have run it; valid after the answer
	answers       chan engine.Answer // buffered for the one answer
}

var _ engine.Front = (*call)(nil)

// HandleAnswer implements engine.Front.
func (c *call) HandleAnswer(_ *engine.Call, a engine.Answer) {
	if reply, ok := a.Reply.(*httpproxy.Reply); ok {
		reply.Claim()
	}
	c.neverRan = c.Runs() == 0
	c.answers <- a
}

// newCall returns a call for a request; nil if the engine does not know the route's class yet.
func newCall(s *service, route *configuration.Route, message *httpproxy.Message, needs *balancer.Needs, work time.Duration) *call {
	snapshot := s.engine.SettingsSnapshot()
	class, known := snapshot.ClassIndexes[className(route)]
	if !known {
		return nil
	}
	c := &call{answers: make(chan engine.Answer, 1), latencyTarget: snapshot.Settings.Classes[class].LatencyTarget, modelLoaded: true}
	c.Call = engine.Call{
		Request: balancer.Request{Class: class, Cost: work, Needs: needs}, Carrier: s.carrier, Snapshot: snapshot,
		Payload: message, Front: c,
	}
	return c
}

// clientRequest is one request of a client, from its head to the end of its answer. It is owned by the goroutine that
// handles the request, and then by the one that writes the answer.
type clientRequest struct {
	gateway    *Gateway
	service    *service
	route      *configuration.Route
	tenant     tenancy
	quotaTaken *QuotaDecision // nil: nothing was taken
	message    *httpproxy.Message
	needs      *balancer.Needs
	work       time.Duration
	deadline   time.Time
	client     net.Conn
	current    *call
	disconnect *disconnectWatcher // nil before the first call
}

// execute hands a call to the engine and waits for its answer, or for the client to disconnect.
func (r *clientRequest) execute(c *call) engine.Answer {
	r.current = c
	if r.disconnect == nil {
		r.disconnect = watchDisconnect(r.client)
	}
	s := r.service
	arrived := s.engine.Now()
	c.Deadline = arrived + time.Until(r.deadline)
	s.engine.Post(func() { s.engine.HandleCall(&c.Call, arrived) })
	answer := r.awaitAnswer(c)
	if reply, ok := answer.Reply.(*httpproxy.Reply); !ok || !reply.Streaming() {
		r.disconnect.stop()
	}
	return answer
}

func (r *clientRequest) awaitAnswer(c *call) engine.Answer {
	s := r.service
	select {
	case answer := <-c.answers:
		return answer
	case <-s.engine.Done():
		return engine.Answer{Verdict: engine.Stopped}
	case <-r.disconnect.disconnected:
		r.abandon(c)
		return engine.Answer{Verdict: engine.ClientGone}
	}
}

// abandon ends a call whose client has disconnected, and returns once the engine has done so.
func (r *clientRequest) abandon(c *call) {
	s := r.service
	ended := make(chan struct{})
	s.engine.Post(func() {
		defer close(ended)
		s.engine.HandleClientGone(&c.Call)
		c.neverRan = c.Runs() == 0
		select {
		case answer := <-c.answers:
			r.discardAnswer(answer)
		default:
		}
	})
	select {
	case <-ended:
	case <-s.engine.Done():
	}
}

// discardAnswer releases an answer whose client has disconnected. Only the engine's goroutine may call it.
func (r *clientRequest) discardAnswer(a engine.Answer) {
	reply, ok := a.Reply.(*httpproxy.Reply)
	if !ok {
		return
	}
	streaming := reply.Streaming()
	reply.Release(r.gateway.memory, false)
	if streaming {
		r.service.engine.HandleStreamEnd(&r.current.Call, false)
	}
}

// reportStreamEnd tells the engine how a stream ended.
func (r *clientRequest) reportStreamEnd(complete bool) {
	s, c := r.service, r.current
	s.engine.Post(func() { s.engine.HandleStreamEnd(&c.Call, complete) })
}

// disconnected reports whether the client has disconnected.
func (r *clientRequest) disconnected() bool {
	select {
	case <-r.disconnect.disconnected:
		return true
	default:
		return false
	}
}
