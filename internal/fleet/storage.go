package fleet

import (
	"errors"
	"math"

	"marlreel/internal/fleet/agree"
	"marlreel/internal/fleet/disk"
)

const (
	eventDiskFailed = "fleet-disk-failed"
	never           = math.MaxInt // a tick that is never reached
)

func (f *Fleet) openDisk() {
	if f.options.Dir == "" {
		return
	}
	d, err := disk.Open(f.options.Dir, f.options.Name, f.options.Proxy)
	if err != nil {
		f.warnOnce("fleet-disk "+err.Error(), err)
		f.nextDisk = f.ticks + retryOpenDiskTicks
		if errors.Is(err, disk.ErrOwner) {
			f.nextDisk = never
		}
		return
	}
	f.disk = d
}

// loadState returns the fleet's state that an earlier process stored last, or nil.
func (f *Fleet) loadState() *agree.State {
	if f.disk == nil {
		return nil
	}
	saved, err := f.disk.View()
	if err != nil {
		f.warn("fleet-view-lost", err)
	}
	return saved
}

// startKeeper makes this proxy a consensus member with the content of its disk.
func (f *Fleet) startKeeper() {
	saved, err := f.disk.Load(f.random.Uint64()>>12 | 1)
	if err == nil {
		f.keeper, err = agree.NewKeeper(f.cfg, Now(), saved)
	}
	if err != nil {
		f.stopKeeper(err)
		return
	}
	if f.logged[eventDiskFailed] {
		f.logged[eventDiskFailed] = false
		f.options.Log.Info("the keeper's disk can be read and written again", "event", "fleet-disk-well")
	}
}

// stopKeeper stops the consensus member until its disk can be loaded again: its unsent messages rely on data that could
// not be saved.
func (f *Fleet) stopKeeper(err error) {
	f.keeper = nil
	f.warnOnce(eventDiskFailed, err)
	f.nextDisk = f.ticks + retryKeeperTicks
}
