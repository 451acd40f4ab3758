package msgpackrpc

import (
	"crypto/rand"
	"encoding/hex"
	"hash/fnv"
	"io"
	"time"

	"marlreel/internal/balancer"
	"marlreel/internal/dataplane/engine"
)

// nilValue is nil, encoded.
var nilValue = []byte{0xc0}

// call is a client's call, from its message to its answer.
type call struct {
	engine.Call
	conn         *clientConn
	msgid        uint32
	notification bool // nobody waits for its answer
}

var _ engine.Front = (*call)(nil)

// newCall makes a call from a message. Its errors are caused by the client.
func (c *clientConn) newCall(m message, arrived time.Duration, notification bool) (*call, *callError) {
	s := c.server
	method := s.methodOf(m.method)
	if method == nil {
		return nil, &callError{Code: codeNoMethod, Message: "no such method"}
	}
	if notification && !method.AcceptNotifications {
		return nil, &callError{Code: codeBadRequest, Message: "no notification is taken of this method"}
	}
	params, err := splitParams(m.params)
	if err != nil {
		return nil, &callError{Code: codeBadRequest, Message: err.Error()}
	}
	request, snapshot, problem := s.newRequest(method, &params.meta, arrived)
	if problem != nil {
		return nil, problem
	}
	if params.meta.RequestID == "" {
		params.meta.RequestID = newRequestID()
	}
	q := &call{conn: c, msgid: m.id, notification: notification, Call: engine.Call{
		ClientRequestID: params.meta.RequestID, Carrier: s.carrier, Snapshot: snapshot, Request: request,
		Payload: &payload{
			method: m.method, args: params.args, count: params.count, meta: params.meta, hasMeta: params.hasMeta,
			notification: notification,
		},
	}}
	q.Front = q
	q.ClientConnected = c.isOpen
	return q, nil
}

// newRequest makes the balancer's request for a call, by the current settings.
func (s *Server) newRequest(method *Method, meta *Metadata, arrived time.Duration) (balancer.Request, *engine.SettingsSnapshot, *callError) {
	snapshot := s.engine.SettingsSnapshot()
	class, known := snapshot.ClassIndexes[method.Class]
	if !known {
		return balancer.Request{}, nil, &callError{Code: codeNoMethod, Message: "the method's class is out of use"}
	}
	settings := &snapshot.Settings.Classes[class]
	if (meta.IdempotencyKey != "") != (settings.Effect == balancer.Keyed) {
		return balancer.Request{}, nil, &callError{Code: codeBadRequest, Message: "$key is missing or out of place"}
	}
	tenant, known := s.tenantOf(snapshot, meta.Tenant)
	if !known {
		return balancer.Request{}, nil, &callError{Code: codeBadRequest, Message: "$house is missing or unknown"}
	}
	timeout := settings.ClientTimeout
	if meta.TimeoutMs > 0 {
		timeout = min(timeout, time.Duration(meta.TimeoutMs*float64(time.Millisecond)))
	}
	return balancer.Request{
		Class: class, Tenant: tenant, Key: affinityHash(meta.AffinityKey), IsRetry: meta.IsRetry,
		Deadline: arrived + timeout,
	}, snapshot, nil
}

// tenantOf returns the index of a tenant, and false if the settings have tenants but not this one.
func (s *Server) tenantOf(snapshot *engine.SettingsSnapshot, name string) (int, bool) {
	if len(snapshot.TenantIndexes) == 0 {
		return 0, true
	}
	if name == "" {
		name = s.config.DefaultTenant
	}
	tenant, known := snapshot.TenantIndexes[name]
	return tenant, known
}

// affinityHash hashes an affinity key for the balancer; 0: none.
func affinityHash(key string) uint64 {
	if key == "" {
		return 0
	}
	h := fnv.New64a()
	_, _ = io.WriteString(h, key) // writing to a hash never fails
	return h.Sum64()
}

// newRequestID makes a random request id.
func newRequestID() string {
	var id [requestIDLength / 2]byte
	_, _ = rand.Read(id[:]) // by its documentation it never fails
	return hex.EncodeToString(id[:])
}

// HandleAnswer implements engine.Front: it writes the engine's verdict to the client.
func (q *call) HandleAnswer(_ *engine.Call, a engine.Answer) {
	if q.notification || !q.conn.removePending(q) {
		return
	}
	if a.Verdict == engine.ClientGone {
		return // the client has disconnected
	}
	problem, result := encodeAnswer(a)
	b := make([]byte, 0, len(problem)+len(result)+8)
	q.conn.enqueue(appendResponse(b, q.msgid, problem, result))
}

// encodeAnswer returns the encoded error and result of an answer. A backend's own error and result are forwarded
// unchanged.
func encodeAnswer(a engine.Answer) (problem, result []byte) {
	switch a.Verdict {
	case engine.Served:
		r := a.Reply.(*reply)
		return r.error, r.result
	case engine.Failed:
		r, fromBackend := a.Reply.(*reply)
		if fromBackend {
			return r.error, r.result
		}
		return (&callError{Code: codeFailed, Message: "failed; it may have run"}).encode(), nilValue
	case engine.Rejected:
		return (&callError{Code: codeRefused, Message: "refused", Retry: true, After: a.RetryAfter}).encode(), nilValue
	case engine.Overloaded:
		return (&callError{Code: codeOverloaded, Message: "too many calls are open", Retry: true, After: a.RetryAfter}).encode(), nilValue
	case engine.TimedOut:
		return (&callError{Code: codeOutOfTime, Message: "out of time; it may have run"}).encode(), nilValue
	case engine.Stopped:
		return (&callError{Code: codeFailed, Message: "this process stops; it may have run"}).encode(), nilValue
	case engine.DuplicateID:
		return (&callError{Code: codeInUse, Message: "$id is in use"}).encode(), nilValue
	}
	return nilValue, nilValue
}
