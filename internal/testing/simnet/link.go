package simnet

import "time"

// Each machine sends over one link with a limited rate. Bytes are queued behind those sent before.

// maxLinkQueue is the longest time that a datagram waits for the link; one that would wait longer is dropped.
const maxLinkQueue = 100 * time.Millisecond

// SetRate sets the sending rate of each machine, in bytes per second; 0: unlimited.
func (n *Network) SetRate(bytesPerSecond int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cfg.BytesPerSecond = bytesPerSecond
}

// SetMachineRate overrides the sending rate of one machine, in bytes per second; 0: unlimited.
func (n *Network) SetMachineRate(ip string, bytesPerSecond int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rates[ip] = bytesPerSecond
}

// rateOf returns a machine's sending rate in bytes per second; 0: unlimited. The caller holds the lock.
func (n *Network) rateOf(ip string) int {
	if rate, set := n.rates[ip]; set {
		return rate
	}
	return n.cfg.BytesPerSecond
}

// reserveLink queues size bytes on a machine's link and returns the time until they are sent.
func (n *Network) reserveLink(ip string, size int) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	rate := n.rateOf(ip)
	if rate <= 0 {
		return 0
	}
	now := time.Now()
	freeAt := n.linkFreeAt[ip]
	if freeAt.Before(now) {
		freeAt = now
	}
	freeAt = freeAt.Add(time.Duration(float64(size) / float64(rate) * float64(time.Second)))
	n.linkFreeAt[ip] = freeAt
	return freeAt.Sub(now)
}

// linkQueue returns how long a machine's link needs to send the bytes already queued.
func (n *Network) linkQueue(ip string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Until(n.linkFreeAt[ip])
}
