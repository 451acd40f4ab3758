package bootstrap

import (
	"net"
	"slices"
	"strconv"
)

// peerPortOffset is the offset, from the first internal port, of the port that other machines connect to.
const peerPortOffset = 0

// MetricsEndpoint identifies a process of a machine that serves metrics. Its value is the offset of its port, counted
// back from the last internal port.
type MetricsEndpoint int

// The metrics endpoints of a machine.
const (
	ProxyMetrics MetricsEndpoint = iota
	AgentMetrics
	ControlMetrics
)

// MetricsAddress returns the address, HOST:PORT, at which a process of this machine serves its metrics. It is empty
// if the platform leaves too few ports free.
func (s *Settings) MetricsAddress(endpoint MetricsEndpoint) string {
	port := s.InternalPorts[1] - int(endpoint)
	if port <= s.InternalPorts[0]+peerPortOffset {
		return ""
	}
	return net.JoinHostPort(s.IP, strconv.Itoa(port))
}

// PeerAddress returns the address, HOST:PORT, at which other machines reach this one.
func (s *Settings) PeerAddress() string { return s.peerAddressOf(s.IP) }

// AgentLoopback returns the address, HOST:PORT, at which this machine's agent listens for its proxy.
func (s *Settings) AgentLoopback() string {
	if s.LoopbackIP != "" {
		return s.peerAddressOf(s.LoopbackIP)
	}
	return s.peerAddressOf("127.0.0.1")
}

// peerAddressOf returns the internal address of a machine; all machines use the same ports.
func (s *Settings) peerAddressOf(host string) string {
	return net.JoinHostPort(host, strconv.Itoa(s.InternalPorts[0]+peerPortOffset))
}

// Seeds returns the control addresses, HOST:PORT, of the machines to contact when no other is known, as the settings
// file lists them now. The caller must not change the slice.
func (s *Settings) Seeds() []string {
	if seeds := s.newSeeds.Load(); seeds != nil {
		return *seeds
	}
	return s.SeedNodes
}

// SeedPeers returns the internal addresses, HOST:PORT, of the seed machines.
func (s *Settings) SeedPeers() []string {
	var peers []string
	for _, seed := range s.Seeds() {
		if host, _, err := net.SplitHostPort(seed); err == nil {
			peers = append(peers, s.peerAddressOf(host))
		}
	}
	return peers
}

// IsSeed reports whether this machine is one of the seeds.
func (s *Settings) IsSeed() bool { return slices.Contains(s.SeedPeers(), s.PeerAddress()) }
