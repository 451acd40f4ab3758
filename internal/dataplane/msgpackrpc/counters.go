package msgpackrpc

import "sync/atomic"

// Counters count what happens without a client who could be told. They only grow.
type Counters struct {
	LateReplies            atomic.Int64 // replies to calls that had been abandoned
	UnknownReplies         atomic.Int64 // replies to no call
	SlowClients            atomic.Int64 // clients disconnected as they did not read their answers
	MalformedStreams       atomic.Int64 // connections ended for what came on them
	ForwardedNotifications atomic.Int64 // notifications written to a backend
	DroppedNotifications   atomic.Int64 // notifications that were rejected
}
