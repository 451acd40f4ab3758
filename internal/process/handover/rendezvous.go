package handover

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Rendezvous is how the processes of a proxy find each other: each has a file in a common folder. A file counts while
// its owner holds the lock on it, which the kernel releases however the process ends. So nothing needs cleaning up after
// a kill, and a process can't be mistaken for an earlier one. The first byte of the file is the process's stage.
//
// Discovery over a Unix socket could carry more, but some environments forbid it, and it would need an answer from a
// process that may be stuck.
type Rendezvous struct {
	dir  string
	file *os.File
	id   int

	mu    sync.Mutex
	stage Stage
}

const (
	processFilePrefix = "marlreel-process-"
	// maxPeers bounds how many other processes are inspected.
	maxPeers = 16
	// joinTimeout is how long a process tries to lock its own file, joinRetryInterval the pause between two attempts:
	// a process that inspects the file locks it briefly, or longer on a busy machine.
	joinTimeout       = 300 * time.Millisecond
	joinRetryInterval = time.Millisecond
	// staleFileAge is the minimum age of an unlocked file to count as stale: a file that is just being created is not
	// locked yet.
	staleFileAge = time.Second

	processFileMode = 0o600
)

// Join announces this process in a folder. Its error is a JoinError.
func Join(dir string) (*Rendezvous, error) {
	r := &Rendezvous{dir: dir, id: os.Getpid()}
	for until := time.Now().Add(joinTimeout); ; time.Sleep(joinRetryInterval) {
		f, err := lockOwnFile(r.path(r.id))
		if err == nil {
			r.file = f
			return r, r.SetStage(Starting)
		}
		passes := errors.Is(err, syscall.EWOULDBLOCK) || errors.Is(err, errRemoved)
		if !passes || time.Now().After(until) {
			return nil, &JoinError{err}
		}
	}
}

// errRemoved means that another process removed a stale file while this one was locking it as its own.
var errRemoved = errors.New("another process removed the file as stale")

// lockOwnFile opens or creates a process's own file and locks it. Danger: processes that inspect the file lock it
// briefly, and remove it if it is stale. A process whose file is removed at that moment would be invisible to others.
func lockOwnFile(path string) (*os.File, error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, processFileMode)
	if err != nil {
		return nil, err
	}
	if err := lock(f, syscall.LOCK_EX); err != nil {
		_ = f.Close()
		return nil, fmt.Errorf("%s is locked by another process: %w", path, err)
	}
	if !isCurrent(f, path) {
		f.Close()
		return nil, fmt.Errorf("%s: %w", path, errRemoved)
	}
	return f, nil
}

// isCurrent reports whether a path still refers to an open file.
func isCurrent(f *os.File, path string) bool {
	opened, err := f.Stat()
	if err != nil {
		return false
	}
	there, err := os.Stat(path)
	return err == nil && os.SameFile(opened, there)
}

func (r *Rendezvous) path(id int) string {
	return filepath.Join(r.dir, processFilePrefix+strconv.Itoa(id))
}

// lock applies a flock operation, or fails at once instead of waiting.
func lock(f *os.File, how int) error {
	for {
		err := syscall.Flock(int(f.Fd()), how|syscall.LOCK_NB)
		if !errors.Is(err, syscall.EINTR) {
			return err
		}
	}
}

// SetStage announces the stage of this process. A stage earlier than the announced one is ignored.
func (r *Rendezvous) SetStage(s Stage) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s < r.stage {
		return nil
	}
	r.stage = s
	_, err := r.file.WriteAt([]byte{'0' + byte(s)}, 0)
	return err
}

// Peers returns the other processes that are alive, in no particular order, and removes the files of processes that
// have ended. A locked file without a readable stage counts as a process that is starting.
func (r *Rendezvous) Peers() ([]Peer, error) {
	entries, err := os.ReadDir(r.dir)
	if err != nil {
		return nil, &JoinError{err}
	}
	var peers []Peer
	for _, entry := range entries {
		text, isOurs := strings.CutPrefix(entry.Name(), processFilePrefix)
		id, err := strconv.Atoi(text)
		if !isOurs || err != nil || id == r.id || len(peers) >= maxPeers {
			continue
		}
		if stage, alive := inspect(r.path(id)); alive {
			peers = append(peers, Peer{ID: id, Stage: stage})
		}
	}
	return peers, nil
}

// inspect reports whether the owner of a file is alive, and its stage.
func inspect(path string) (stage Stage, alive bool) {
	f, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		return 0, false
	}
	defer f.Close()
	// Danger: this lock must be a shared one. Under an exclusive lock, other processes that inspect the file at the same
	// time would take its dead owner for alive.
	if lock(f, syscall.LOCK_SH) == nil {
		defer func() { _ = lock(f, syscall.LOCK_UN) }() // a child being started may inherit the lock, so closing isn't enough
		// The file has no owner. One that is just being created is not locked yet, and is not removed.
		if info, err := f.Stat(); err == nil && time.Since(info.ModTime()) > staleFileAge &&
			lock(f, syscall.LOCK_EX) == nil && isCurrent(f, path) {
			_ = os.Remove(path) // another process may have removed it already
		}
		return 0, false
	}
	var b [1]byte
	if n, _ := f.ReadAt(b[:], 0); n == 1 && b[0] >= '0' && b[0] < '0'+byte(stageCount) {
		stage = Stage(b[0] - '0')
	}
	return stage, true
}

// Watch polls for other processes until ctx ends, and calls changed whenever this process's share changes.
func (r *Rendezvous) Watch(ctx context.Context, changed func(Share, []Peer), logf func(string, ...any)) {
	var tracker ShareTracker
	last, began := FullShare, time.Now()
	ticks := time.NewTicker(pollInterval)
	defer ticks.Stop()
	for failed := false; ; {
		peers, err := r.Peers()
		if err != nil && !failed {
			logf("%v", err)
		}
		failed = err != nil
		if s := tracker.Update(time.Since(began), peers); err == nil && s != last {
			last = s
			changed(s, peers)
		}
		select {
		case <-ticks.C:
		case <-ctx.Done():
			return
		}
	}
}

// Close removes this process's file and socket and releases its lock.
func (r *Rendezvous) Close() {
	// A file that can't be removed does no harm: without a lock it counts as stale.
	_ = os.Remove(r.socket(r.id))
	_ = os.Remove(r.path(r.id))
	_ = r.file.Close()
}
