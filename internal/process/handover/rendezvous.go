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

// Rendezvous is where the processes of a proxy find each other: a file for each in a folder that they have in common.
// A file counts while its owner holds the lock on it, which ends with the process however that ends; so there is nothing to
// clean up after a kill, and no process can be mistaken for one that has long gone. The first byte is its stage.
//
// A Unix socket would say more, but is refused in places, and needs an answer from a process that may be stuck.
type Rendezvous struct {
	dir  string
	file *os.File
	id   int

	mu    sync.Mutex
	stage Stage
}

const (
	processFilePrefix = "marlreel-process-"
	// maxPeers bounds how many processes are looked at.
	maxPeers = 16
	// joinTimeout is how long a process tries to lock its own file, joinRetryInterval the wait between two attempts: whoever
	// looks at the file has it locked for a moment, and on a busy machine for a longer one.
	joinTimeout       = 300 * time.Millisecond
	joinRetryInterval = time.Millisecond
	// staleFileAge is how old a file without a lock has to be to count as left over: one that is just being made is not
	// locked yet.
	staleFileAge = time.Second

	processFileMode = 0o600
)

// Join announces this process in a folder. It fails with a JoinError.
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

// errRemoved says that a file that was left over was removed by another process while this one took it for its own.
var errRemoved = errors.New("the file was removed")

// lockOwnFile opens a process's own file, or makes it, and locks it. Danger: others that look at it have it locked for a
// moment, and remove one that was left over. A process whose file is removed then would be known to nobody.
func lockOwnFile(path string) (*os.File, error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, processFileMode)
	if err != nil {
		return nil, err
	}
	if err := lock(f, syscall.LOCK_EX); err != nil {
		_ = f.Close()
		return nil, fmt.Errorf("%s is held by another process: %w", path, err)
	}
	if !isCurrent(f, path) {
		f.Close()
		return nil, fmt.Errorf("%s: %w", path, errRemoved)
	}
	return f, nil
}

// isCurrent tells whether a path still leads to an open file.
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

// lock takes a lock, or fails at once.
func lock(f *os.File, how int) error {
	for {
		err := syscall.Flock(int(f.Fd()), how|syscall.LOCK_NB)
		if !errors.Is(err, syscall.EINTR) {
			return err
		}
	}
}

// SetStage announces the stage of this process. A stage before the announced one changes nothing.
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

// Peers returns the other processes that are alive, in no order. A file whose owner has gone is removed. One without a
// stage that can be read is of a process that starts: it counts.
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

// inspect tells whether a file's owner lives, and its stage.
func inspect(path string) (stage Stage, alive bool) {
	f, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		return 0, false
	}
	defer f.Close()
	// Danger: a lock that is not shared with others that look would have them take who has gone for one that lives.
	if lock(f, syscall.LOCK_SH) == nil {
		defer func() { _ = lock(f, syscall.LOCK_UN) }() // the close leaves it to a child that is just being started
		// Nobody holds it. One that is just being made is not locked yet, and is left alone.
		if info, err := f.Stat(); err == nil && time.Since(info.ModTime()) > staleFileAge &&
			lock(f, syscall.LOCK_EX) == nil && isCurrent(f, path) {
			_ = os.Remove(path) // another process may have removed it
		}
		return 0, false
	}
	var b [1]byte
	if n, _ := f.ReadAt(b[:], 0); n == 1 && b[0] >= '0' && b[0] < '0'+byte(stageCount) {
		stage = Stage(b[0] - '0')
	}
	return stage, true
}

// Watch looks for other processes until ctx ends, and calls changed for each change of this one's share.
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

// Close leaves the rendezvous, and removes this process's file and socket.
func (r *Rendezvous) Close() {
	// What can't be removed is left over, and counts for nobody without its lock.
	_ = os.Remove(r.socket(r.id))
	_ = os.Remove(r.path(r.id))
	_ = r.file.Close()
}
