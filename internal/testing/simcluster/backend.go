package simcluster

import (
	"context"
	"time"

	"marlreel/internal/testing/fakesystem"
)

// heartbeatInterval is the heartbeat interval in the settings of all processes, and the default for backends.
const heartbeatInterval = 1200 * time.Millisecond

// Backend is a fake backend on a machine of its own.
type Backend struct {
	*fakesystem.Backend
	disconnect func()
	cancel     context.CancelFunc
}

// Kill stops a backend at once: it answers no requests and sends no more heartbeats.
func (b *Backend) Kill() {
	b.cancel()
	b.disconnect()
}

// AddBackend starts a backend on a machine of its own. It sets the address, the control processes and, if cfg has none,
// the heartbeat interval.
func (c *Cluster) AddBackend(cfg fakesystem.BackendConfig) *Backend {
	ip := c.machineIP(backendMachine, len(c.Backends))
	cfg.Address, cfg.Controls = ip+":9000", c.ControlAddresses
	if cfg.HeartbeatInterval == 0 {
		cfg.HeartbeatInterval = heartbeatInterval
	}
	ctx, cancel := context.WithCancel(c.ctx)
	b := &Backend{Backend: fakesystem.NewBackend(cfg, c.network(ip)), disconnect: func() { c.disconnect(ip) }, cancel: cancel}
	c.Backends = append(c.Backends, b)
	c.backendsEnded.Go(func() { _ = b.Serve(ctx) }) // returns when the backend or the cluster is stopped
	return b
}
