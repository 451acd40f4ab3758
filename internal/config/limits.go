package config

import "time"

// How the descriptors are divided: of 256, backends have 64, the process itself 40, and
// clients the rest, 152. Good clients hold a third at most (85), so silent ones always find
// some places to push each other out of.
const (
	defaultFileDescriptors = 1024
	// MinFileDescriptors is with how few a proxy can work.
	MinFileDescriptors = 64
	// ownDescriptors is what a process needs beside clients and backends: the standard streams,
	// listeners, the poller, two watches of the list, callers at the control address.
	ownDescriptors = 40
)

func (c *Platform) fileDescriptors() int {
	if c.MaxFileDescriptors == 0 {
		return defaultFileDescriptors
	}
	return c.MaxFileDescriptors
}

// MaxClientConnections bounds the connections of clients: half of the descriptors, or all that
// neither backends nor the process itself may need, where that is more.
func (c *Platform) MaxClientConnections() int {
	return max(c.fileDescriptors()/2, c.fileDescriptors()-c.MaxBackendConnections()-ownDescriptors)
}

// MaxBackendConnections bounds the connections to backends: a quarter of the descriptors.
func (c *Platform) MaxBackendConnections() int { return c.fileDescriptors() / 4 }

// MaxControlCalls bounds the platform's calls at the control address that are open at a time: 4 to 16.
func (c *Platform) MaxControlCalls() int { return min(max(c.fileDescriptors()/16, 4), 16) }

// defaultMemoryMB is what a process may take where nothing is said, MiB.
const defaultMemoryMB = 64

// MaxBodyBytes bounds the memory of bodies: a quarter of the process's. What is left is for the program,
// the connections' own buffers, and garbage, which may come to as much as what lives.
func (c *Platform) MaxBodyBytes() int {
	mib := c.MemoryMB
	if mib == 0 {
		mib = defaultMemoryMB
	}
	return mib << 20 / 4
}

// After the signal to stop, new connections go on coming for up to 0.4 s. One that is
// closed unaccepted is a lost request.
const defaultAcceptGrace = 500 * time.Millisecond

const (
	// The platform ends a process no sooner than its longest deadline after the signal to stop, and
	// platformStopSlack more; a deadline beyond maxDrainTimeout counts as this (the protocol's page, Figures).
	maxDrainTimeout   = 3 * time.Second
	platformStopSlack = 700 * time.Millisecond
	// exitReserve is the part of the slack that is kept for the end of the process itself.
	exitReserve = 120 * time.Millisecond
)

// DrainTimeout is how long after AcceptGrace open requests may take at a stop. What the end of
// the process finds open is lost, so a class that waits longer has to be answered before.
func (c *Platform) DrainTimeout() time.Duration { return min(c.MaxClientTimeout(), maxDrainTimeout) }

// ExitGrace is how long after AcceptGrace and DrainTimeout the process may still run.
func (c *Platform) ExitGrace() time.Duration {
	return max(0, platformStopSlack-exitReserve-c.AcceptGrace)
}

// MaxClientTimeout is the longest time that a client of any class waits.
func (c *Platform) MaxClientTimeout() time.Duration {
	longest := time.Duration(0)
	for _, class := range c.Settings.Classes {
		longest = max(longest, class.ClientTimeout)
	}
	return longest
}
