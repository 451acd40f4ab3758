package experiment

import (
	"errors"
	"time"

	bolt "go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
)

const (
	// defaultLockTimeout outlasts what holds a killed process's lock: the lock goes with the last mapping of the file, and
	// whoever reads the dead process's memory or mappings in /proc keeps these until the read is over, which a reader
	// that gets little processor time may take seconds for.
	defaultLockTimeout = 5 * time.Second

	// lockQuietTime is waited in silence: two programs that take turns at one store are nothing to tell of.
	lockQuietTime = 300 * time.Millisecond
)

// ErrInUse says that another process has the store open.
var ErrInUse = errors.New("another process has it open: one at a time")

// OpenConfig says how long Open waits for a store that another process has locked.
type OpenConfig struct {
	// LockTimeout bounds the wait for the lock; 0 is 5 s. Raising it makes a second program that is started by mistake
	// learn later that the store is in use; lowering it makes a start right after a kill fail where the killed process's
	// memory is still being read by somebody.
	LockTimeout time.Duration

	// OnLockWait, if set, is called at most once, when the lock is still held after 300 ms, with the time that
	// Open goes on waiting for at most.
	OnLockWait func(remaining time.Duration)
}

// lockWait is one Open's wait for the lock: the inspection and the opening behind it share its bound.
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

// open opens the database with these options as soon as the lock is free, and returns ErrInUse at the deadline.
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

// remaining is what is left until the deadline, and never 0: to the library 0 is a wait without a bound.
func (w *lockWait) remaining() time.Duration {
	return max(time.Until(w.deadline), time.Millisecond)
}
