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

// Rendezvous is where the processes of a proxy find each other: a file for each in a folder
// that they have in common. A file counts while its owner holds the lock on it, which ends
// with the process however that ends; so there is nothing to clean up after a kill, and no
// process can be mistaken for one that has long gone. The first byte is its stage.
//
// A Unix socket would tell more, but is refused in places, and needs an answer from a
// process that may be stuck.
type Rendezvous struct {
	dir  string
	file *os.File
	id   int

	mu    sync.Mutex
	stage Stage
}

const (
	prefix = "marlreel-process-"
	// mostFiles bounds how many files one look opens.
	mostFiles = 16
	// meetWithin is how long a process tries to lock its own file, meetAgain the wait between two tries: who looks
	// at it holds it for a moment, and on a busy machine for a longer one.
	meetWithin = 300 * time.Millisecond
	meetAgain  = time.Millisecond
)

// Meet announces this process in a folder.
func Meet(dir string) (*Rendezvous, error) {
	r := &Rendezvous{dir: dir, id: os.Getpid()}
	for until := time.Now().Add(meetWithin); ; time.Sleep(meetAgain) {
		f, err := hold(r.path(r.id))
		if err == nil {
			r.file = f
			return r, r.Tell(Starting)
		}
		passes := errors.Is(err, syscall.EWOULDBLOCK) || errors.Is(err, errRemoved)
		if !passes || time.Now().After(until) {
			return nil, &MeetError{err}
		}
	}
}

// errRemoved says that a file that was left over was removed by another process while this one took it for its own.
var errRemoved = errors.New("the file was removed")

// hold opens a process's own file, or makes it, and locks it. Danger: others that look at it have it locked for a
// moment, and remove one that was left over. A process that took that for its end would be known to nobody.
func hold(path string) (*os.File, error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err := lock(f, syscall.LOCK_EX); err != nil {
		f.Close()
		return nil, fmt.Errorf("%s is held by another process: %w", path, err)
	}
	if !stands(f, path) {
		f.Close()
		return nil, fmt.Errorf("%s: %w", path, errRemoved)
	}
	return f, nil
}

// stands tells whether a path still leads to a file.
func stands(f *os.File, path string) bool {
	opened, err := f.Stat()
	if err != nil {
		return false
	}
	there, err := os.Stat(path)
	return err == nil && os.SameFile(opened, there)
}

func (r *Rendezvous) path(id int) string { return filepath.Join(r.dir, prefix+strconv.Itoa(id)) }

// lock takes a lock, or fails at once.
func lock(f *os.File, how int) error {
	for {
		err := syscall.Flock(int(f.Fd()), how|syscall.LOCK_NB)
		if !errors.Is(err, syscall.EINTR) {
			return err
		}
	}
}

// Tell says where this process is now. It does not go back.
func (r *Rendezvous) Tell(s Stage) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s < r.stage {
		return nil
	}
	r.stage = s
	_, err := r.file.WriteAt([]byte{'0' + byte(s)}, 0)
	return err
}

// Others are the other processes that are alive, in no order. A file whose owner has gone
// is removed. What can't be read is a process that is starting: it counts.
func (r *Rendezvous) Others() ([]Peer, error) {
	entries, err := os.ReadDir(r.dir)
	if err != nil {
		return nil, &MeetError{err}
	}
	var peers []Peer
	for _, e := range entries {
		text, ours := strings.CutPrefix(e.Name(), prefix)
		id, err := strconv.Atoi(text)
		if !ours || err != nil || id == r.id || len(peers) >= mostFiles {
			continue
		}
		if stage, alive := look(r.path(id)); alive {
			peers = append(peers, Peer{ID: id, Stage: stage})
		}
	}
	return peers, nil
}

// look tells whether a file's owner lives, and its stage.
func look(path string) (stage Stage, alive bool) {
	f, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		return 0, false
	}
	defer f.Close()
	// Danger: a lock that is not shared with others that look would have them take who has gone for one that lives.
	if lock(f, syscall.LOCK_SH) == nil {
		defer lock(f, syscall.LOCK_UN) // the close leaves it to a child that is just being started
		// Nobody holds it. One that is just being made is not locked yet, and is left alone.
		if info, err := f.Stat(); err == nil && time.Since(info.ModTime()) > time.Second &&
			lock(f, syscall.LOCK_EX) == nil && stands(f, path) {
			os.Remove(path)
		}
		return 0, false
	}
	var b [1]byte
	if n, _ := f.ReadAt(b[:], 0); n == 1 && b[0] >= '0' && b[0] < '0'+byte(stages) {
		stage = Stage(b[0] - '0')
	}
	return stage, true
}

// Watch looks for others until ctx ends, and calls for each change of the share, the first
// time before it returns from its first look.
func (r *Rendezvous) Watch(ctx context.Context, changed func(Share, []Peer), logf func(string, ...any)) {
	var m Machine
	last, began := Whole, time.Now()
	ticks := time.NewTicker(lookEvery)
	defer ticks.Stop()
	for failed := false; ; {
		peers, err := r.Others()
		if err != nil && !failed {
			logf("%v", err)
		}
		failed = err != nil
		if s := m.Look(time.Since(began), peers); err == nil && s != last {
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

// Close leaves. The file goes with it.
func (r *Rendezvous) Close() {
	os.Remove(r.socket(r.id))
	os.Remove(r.path(r.id))
	r.file.Close()
}
