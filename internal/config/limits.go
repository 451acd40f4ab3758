package config

import "time"

// How the file descriptors are divided: of 256, backends have 64, the process itself 40, and
// clients the remaining 152. Well-behaved clients use at most a third (85), so clients that
// send nothing always have some connections left, for which they displace only each other.
const (
	defaultFileDescriptors = 1024
	// MinFileDescriptors is the minimum with which a proxy can work.
	MinFileDescriptors = 64
	// ownDescriptors is how many a process needs in addition to clients and backends: for the
	// standard streams, listeners, the poller, two watches of the list of backends, and callers
	// at the control address.
	ownDescriptors = 40
)

func (c *Platform) fileDescriptors() int {
	if c.MaxFileDescriptors == 0 {
		return defaultFileDescriptors
	}
	return c.MaxFileDescriptors
}

// MaxClientConnections bounds the connections of clients: half of the descriptors, or all that
// neither backends nor the process itself may need, whichever is more.
func (c *Platform) MaxClientConnections() int {
	return max(c.fileDescriptors()/2, c.fileDescriptors()-c.MaxBackendConnections()-ownDescriptors)
}

// MaxBackendConnections bounds the connections to backends: a quarter of the descriptors.
func (c *Platform) MaxBackendConnections() int { return c.fileDescriptors() / 4 }

// MaxControlCalls bounds the platform's concurrent calls at the control address: 4 to 16.
func (c *Platform) MaxControlCalls() int { return min(max(c.fileDescriptors()/16, 4), 16) }

// defaultMemoryMB is the memory limit, in MiB, if the platform sets none.
const defaultMemoryMB = 64

// MaxBodyBytes bounds the memory for bodies: a quarter of the process's limit. The rest is for the program,
// the buffers of connections, and garbage, which may take up as much as the live heap.
func (c *Platform) MaxBodyBytes() int {
	mib := c.MemoryMB
	if mib == 0 {
		mib = defaultMemoryMB
	}
	return mib << 20 / 4
}

// New connections still arrive for up to 0.4 s after the stop signal. Each one that is closed
// without being accepted is a lost request.
const defaultAcceptGrace = 500 * time.Millisecond

const (
	// After the stop signal, the platform lets a process run for at least its longest deadline plus
	// platformStopSlack; deadlines above maxDrainTimeout count as maxDrainTimeout (the protocol's page, Figures).
	maxDrainTimeout   = 3 * time.Second
	platformStopSlack = 700 * time.Millisecond
	// exitReserve is the part of the slack that is reserved for the exit of the process itself.
	exitReserve = 120 * time.Millisecond
)

// DrainTimeout returns how long requests in flight may take after AcceptGrace at a shutdown. Requests
// that are open when the process ends are lost, so a class with a longer timeout must be answered earlier.
func (c *Platform) DrainTimeout() time.Duration { return min(c.MaxClientTimeout(), maxDrainTimeout) }

// ExitGrace returns how long the process may still run after AcceptGrace and DrainTimeout.
func (c *Platform) ExitGrace() time.Duration {
	return max(0, platformStopSlack-exitReserve-c.AcceptGrace)
}

// MaxClientTimeout returns the longest client timeout of all classes.
func (c *Platform) MaxClientTimeout() time.Duration {
	longest := time.Duration(0)
	for _, class := range c.Settings.Classes {
		longest = max(longest, class.ClientTimeout)
	}
	return longest
}
