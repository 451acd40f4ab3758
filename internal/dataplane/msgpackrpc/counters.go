package msgpackrpc

import "sync/atomic"

// Counters count events that are not reported to any client. They only grow.
type Counters struct {
	LateReplies            atomic.Int64 // replies to abandoned calls
	UnknownReplies         atomic.Int64 // replies that match no call
	SlowClients            atomic.Int64 // clients disconnected because they did not read their answers
	MalformedStreams       atomic.Int64 // connections ended because of malformed input
	ForwardedNotifications atomic.Int64 // notifications written to a backend
	DroppedNotifications   atomic.Int64 // notifications that were rejected
}
