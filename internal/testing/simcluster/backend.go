package simcluster

import (
	"cmp"
	"context"
	"slices"
	"time"

	"marlreel/internal/testing/fakesystem"
)

// Backend is a stand-in on a machine of its own.
type Backend struct {
	*fakesystem.Backend
	cutOff func()
	cancel context.CancelFunc
}

// Kill ends a backend at once: it says nothing any more.
func (b *Backend) Kill() {
	b.cancel()
	b.cutOff()
}

// AddBackend starts a backend on a machine of its own.
func (c *Cluster) AddBackend(cfg fakesystem.BackendConfig) *Backend {
	ip := c.machineIP(3, len(c.Backends))
	cfg.Address, cfg.Controls = ip+":9000", c.ControlAddresses
	if cfg.HeartbeatInterval == 0 {
		cfg.HeartbeatInterval = 1200 * time.Millisecond
	}
	ctx, cancel := context.WithCancel(c.ctx)
	b := &Backend{Backend: fakesystem.NewBackend(cfg, c.network(ip)), cutOff: func() { c.disconnect(ip) }, cancel: cancel}
	c.Backends = append(c.Backends, b)
	c.backendsEnded.Go(func() { _ = b.Serve(ctx) }) // it ends with the cluster
	return b
}

// runsOf are the runs of a request, in the order of their beginnings.
func (c *Cluster) runsOf(id string) []fakesystem.Execution {
	var runs []fakesystem.Execution
	for _, b := range c.Backends {
		for _, run := range b.Executions() {
			if run.Request == id {
				runs = append(runs, run)
			}
		}
	}
	slices.SortStableFunc(runs, func(a, b fakesystem.Execution) int { return cmp.Compare(a.LastEventID, b.LastEventID) })
	return runs
}

// backend is the backend of an id.
func (c *Cluster) backend(id string) *Backend {
	for _, b := range c.Backends {
		if b.ID() == id {
			return b
		}
	}
	return nil
}
