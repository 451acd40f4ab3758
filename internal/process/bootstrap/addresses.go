package bootstrap

import (
	"net"
	"slices"
	"strconv"
)

// peerPortOffset is the internal port that processes of other machines reach, counted from the first.
const peerPortOffset = 0

// MetricsEndpoint is a process of a machine whose metrics are served. Its value is its port, counted back from the
// last internal port.
type MetricsEndpoint int

// The metrics endpoints of a machine.
const (
	ProxyMetrics MetricsEndpoint = iota
	AgentMetrics
	ControlMetrics
)

// MetricsAddress is where a process of this machine serves its metrics, HOST:PORT; empty where the platform leaves
// too few ports free.
func (s *Settings) MetricsAddress(endpoint MetricsEndpoint) string {
	port := s.InternalPorts[1] - int(endpoint)
	if port <= s.InternalPorts[0]+peerPortOffset {
		return ""
	}
	return net.JoinHostPort(s.IP, strconv.Itoa(port))
}

// PeerAddress is where processes of other machines reach this one, HOST:PORT.
func (s *Settings) PeerAddress() string { return s.peerAddressOf(s.IP) }

// AgentLoopback is where this machine's agent listens for its proxy, HOST:PORT.
func (s *Settings) AgentLoopback() string {
	if s.LoopbackIP != "" {
		return s.peerAddressOf(s.LoopbackIP)
	}
	return s.peerAddressOf("127.0.0.1")
}

// peerAddressOf is the internal address of a machine; all machines use the same ports.
func (s *Settings) peerAddressOf(host string) string {
	return net.JoinHostPort(host, strconv.Itoa(s.InternalPorts[0]+peerPortOffset))
}

// Seeds are the control addresses of the machines to ask where no other is known, HOST:PORT, as the settings file
// names them now. The caller must not change the slice.
func (s *Settings) Seeds() []string {
	if seeds := s.newSeeds.Load(); seeds != nil {
		return *seeds
	}
	return s.SeedNodes
}

// SeedPeers are the internal addresses of the machines that the seeds name, HOST:PORT.
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
