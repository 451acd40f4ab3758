package simnet

import (
	"net"
	"sync"
)

// Flow identifies the traffic in one direction between a machine and a listening address: requests to the address, or
// responses from it.
type Flow struct {
	From, To string // IPs
	Server   string // the listening address, HOST:PORT
	Kind     string // "tcp" or "udp"
}

// Traffic is the number of bytes that each flow carried, without packet headers.
type Traffic map[Flow]int64

// trafficCounter counts the bytes written. It is safe for concurrent use.
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

// TakeTraffic returns the traffic between machines since the previous call.
func (n *Network) TakeTraffic() Traffic {
	n.traffic.mu.Lock()
	defer n.traffic.mu.Unlock()
	taken := n.traffic.bytes
	n.traffic.bytes = nil
	return taken
}

// Total returns the sum of the bytes of all matching flows.
func (t Traffic) Total(matches func(Flow) bool) int64 {
	var sum int64
	for flow, bytes := range t {
		if matches(flow) {
			sum += bytes
		}
	}
	return sum
}

// Port returns the port of the listening address.
func (f Flow) Port() string {
	_, port, err := net.SplitHostPort(f.Server)
	if err != nil {
		return ""
	}
	return port
}
