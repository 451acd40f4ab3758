package simnet

import (
	"net"
	"sync"
)

// Flow is what passes from one machine to another in the name of one address that is
// listened at: the requests to it, or its answers.
type Flow struct {
	From, To string // IPs
	Server   string // the address that is listened at
	Kind     string // "tcp" or "udp"
}

// Traffic is how many bytes each flow carried, without the headers of packets.
type Traffic map[Flow]int64

// trafficCounter counts what is written. Any goroutine may use it.
type trafficCounter struct {
	mu    sync.Mutex
	bytes Traffic
}

func (t *trafficCounter) add(flow Flow, bytes int) {
	if flow.From == flow.To {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.bytes == nil {
		t.bytes = Traffic{}
	}
	t.bytes[flow] += int64(bytes)
}

// TakeTraffic gives what passed between machines since it was called last.
func (n *Network) TakeTraffic() Traffic {
	n.traffic.mu.Lock()
	defer n.traffic.mu.Unlock()
	taken := n.traffic.bytes
	n.traffic.bytes = nil
	return taken
}

// Total sums the flows that match.
func (t Traffic) Total(matches func(Flow) bool) int64 {
	var sum int64
	for flow, bytes := range t {
		if matches(flow) {
			sum += bytes
		}
	}
	return sum
}

// Port is that of the address that is listened at.
func (f Flow) Port() string {
	_, port, err := net.SplitHostPort(f.Server)
	if err != nil {
		return ""
	}
	return port
}
