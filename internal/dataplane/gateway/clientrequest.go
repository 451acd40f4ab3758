package gateway

import (
	"net"
	"time"

	"marlreel/internal/balancer"
	"marlreel/internal/controlplane/configuration"
	"marlreel/internal/dataplane/engine"
	"marlreel/internal/dataplane/httpproxy"
)

// call is a request as the engine has it. A stream that is resumed is one more call.
type call struct {
	engine.Call
	latencyTarget time.Duration      // from its arrival on
	modelLoaded   bool               // a backend had its model and adapter loaded when it came
	neverRan      bool               // it is over, and no backend can have run it; to be read after the answer
	answers       chan engine.Answer // has room for the one answer
}

var _ engine.Front = (*call)(nil)

// HandleAnswer implements engine.Front.
func (c *call) HandleAnswer(_ *engine.Call, a engine.Answer) {
	if reply, is := a.Reply.(*httpproxy.Reply); is {
		reply.Claim()
	}
	c.neverRan = c.Runs() == 0
	c.answers <- a
}

// newCall makes a call of a request; nil where the engine does not know the route's class yet.
func newCall(s *service, route *configuration.Route, message *httpproxy.Message, needs *balancer.Needs, work time.Duration) *call {
	book := s.engine.SettingsSnapshot()
	class, known := book.ClassIndexes[className(route)]
	if !known {
		return nil
	}
	c := &call{answers: make(chan engine.Answer, 1), latencyTarget: book.Settings.Classes[class].LatencyTarget, modelLoaded: true}
	c.Call = engine.Call{
		Request: balancer.Request{Class: class, Cost: work, Needs: needs}, Carrier: s.carrier, Snapshot: book,
		Payload: message, Front: c,
	}
	return c
}

// clientRequest is one request of a client, from its head to the end of its answer. It belongs to the goroutine that
// handles the request, and then to that which writes the answer.
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
	disconnect *disconnectWatcher // from the first call on
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
	if reply, is := answer.Reply.(*httpproxy.Reply); !is || !reply.Streaming() {
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

// discardAnswer releases an answer whose client has disconnected. Only on the engine's goroutine.
func (r *clientRequest) discardAnswer(a engine.Answer) {
	reply, is := a.Reply.(*httpproxy.Reply)
	if !is {
		return
	}
	streams := reply.Streaming()
	reply.Release(r.gateway.memory, false)
	if streams {
		r.service.engine.HandleStreamEnd(&r.current.Call, false)
	}
}

// reportStreamEnd tells the engine how a stream ended.
func (r *clientRequest) reportStreamEnd(complete bool) {
	s, c := r.service, r.current
	s.engine.Post(func() { s.engine.HandleStreamEnd(&c.Call, complete) })
}

// disconnected tells whether the client has disconnected.
func (r *clientRequest) disconnected() bool {
	select {
	case <-r.disconnect.disconnected:
		return true
	default:
		return false
	}
}
