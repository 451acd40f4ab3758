package host

import (
	"context"

	"github.com/go-logr/logr"

	"marlreel/internal/controlplane/store"
	"marlreel/internal/process/bootstrap"
)

// StoreOpener opens the durable store of a control process.
type StoreOpener func() (*store.Store, error)

// Host is the environment in which a role runs.
type Host struct {
	Settings  *bootstrap.Settings
	Network   Network
	OpenStore StoreOpener
	// RemoveStore removes a damaged store.
	RemoveStore func() error
	Log         logr.Logger
	// CrashContext ends when a simulated machine crashes. It is nil on a real machine, where a crash ends the process
	// itself.
	CrashContext context.Context
}

// New returns the host of a real machine, with a store in the settings' data folder.
func New(settings *bootstrap.Settings, log logr.Logger) *Host {
	return &Host{
		Settings: settings, Network: OSNetwork{}, Log: log,
		OpenStore:   func() (*store.Store, error) { return store.Open(settings.DataDir) },
		RemoveStore: func() error { return store.Remove(settings.DataDir) },
	}
}

// UntilCrash returns a context that ends when the machine crashes. It bounds a graceful shutdown, which continues
// after the role's own context has ended.
func (h *Host) UntilCrash() context.Context {
	if h.CrashContext == nil {
		return context.Background()
	}
	return h.CrashContext
}
