package experiment

import (
	"errors"
	"time"

	bolt "go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
)

const (
	// defaultLockTimeout outlasts the lock of a killed process. The kernel releases the lock with the last mapping of the
	// file, and a process that reads the killed one's memory or mappings in /proc keeps these alive until its read is
	// over, which may take seconds for a reader that gets little CPU time.
	defaultLockTimeout = 5 * time.Second

	// lockQuietTime is how long Open waits before it calls OnLockWait: short waits are normal where two programs take
	// turns at one store.
	lockQuietTime = 300 * time.Millisecond
)

// ErrInUse reports that another process has the store open.
var ErrInUse = errors.New("another process has it open; only one process at a time can use it")

// OpenConfig sets how long Open waits for a store that another process has locked.
type OpenConfig struct {
	// LockTimeout limits the wait for the lock; 0 means 5 s. With a higher value, a second program started by mistake
	// reports later that the store is in use. With a lower one, a start right after a kill fails if another process is
	// still reading the killed one's memory.
	LockTimeout time.Duration

	// OnLockWait, if set, is called at most once, if the lock isn't free after 300 ms, with the longest time that Open
	// will continue to wait.
	OnLockWait func(remaining time.Duration)
}

// lockWait is the wait for the lock in one call of Open; inspecting and then opening the file share its deadline.
type lockWait struct {
	deadline time.Time
	onWait   func(remaining time.Duration)
}

func (c OpenConfig) begin(now time.Time) *lockWait {
	timeout := c.LockTimeout
	if timeout <= 0 {
		timeout = defaultLockTimeout
	}
	return &lockWait{deadline: now.Add(timeout), onWait: c.OnLockWait}
}

// open opens the database as soon as the lock is free. It returns ErrInUse if the deadline passes first.
func (w *lockWait) open(path string, options bolt.Options) (*bolt.DB, error) {
	options.Timeout = min(w.remaining(), lockQuietTime)
	db, err := bolt.Open(path, storeFileMode, &options)
	if !errors.Is(err, bolterrors.ErrTimeout) {
		return db, err
	}
	if options.Timeout = w.remaining(); options.Timeout <= time.Millisecond {
		return nil, ErrInUse
	}
	if w.onWait != nil {
		w.onWait(options.Timeout)
		w.onWait = nil
	}
	db, err = bolt.Open(path, storeFileMode, &options)
	if errors.Is(err, bolterrors.ErrTimeout) {
		return nil, ErrInUse
	}
	return db, err
}

// remaining returns the time until the deadline, at least 1 ms: bbolt takes 0 for a wait without a limit.
func (w *lockWait) remaining() time.Duration {
	return max(time.Until(w.deadline), time.Millisecond)
}
