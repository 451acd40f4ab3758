package host

import (
	"context"

	"github.com/go-logr/logr"

	"marlreel/internal/controlplane/store"
	"marlreel/internal/process/bootstrap"
)

// StoreOpener opens the durable store of a control process.
type StoreOpener func() (*store.Store, error)

// Host is what a role runs on.
type Host struct {
	Settings  *bootstrap.Settings
	Network   Network
	OpenStore StoreOpener
	// RemoveStore removes a store that can't be trusted any more.
	RemoveStore func() error
	Log         logr.Logger
	// CrashContext ends when a simulated machine crashes; nil for a real one, whose processes the operating system
	// ends.
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

// UntilCrash returns a context that ends when the machine crashes. A graceful shutdown, which goes on after the role's
// own context has ended, is bounded by it.
func (h *Host) UntilCrash() context.Context {
	if h.CrashContext == nil {
		return context.Background()
	}
	return h.CrashContext
}
