package simnet

import "time"

// A machine has one link, over which it sends at a limited rate. What is sent waits for what was sent before.

// maxLinkQueue is how long a datagram waits at most for the link.
const maxLinkQueue = 100 * time.Millisecond

// SetRate sets how many bytes a second each machine sends; 0: any number.
func (n *Network) SetRate(bytesPerSecond int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cfg.BytesPerSecond = bytesPerSecond
}

// SetMachineRate sets the same for one machine.
func (n *Network) SetMachineRate(ip string, bytesPerSecond int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rates[ip] = bytesPerSecond
}

// rateOf is how many bytes a second a machine sends; 0: any number. The caller holds the lock.
func (n *Network) rateOf(ip string) int {
	if rate, set := n.rates[ip]; set {
		return rate
	}
	return n.cfg.BytesPerSecond
}

// reserveLink uses a machine's link for so many bytes, and gives how long it takes until they are sent.
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

// linkQueue is how long a machine's link is in use by what it was given.
func (n *Network) linkQueue(ip string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Until(n.linkFreeAt[ip])
}
