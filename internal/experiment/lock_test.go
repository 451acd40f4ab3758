package experiment

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// lockedStore creates a store that is locked through another descriptor, and returns a function that unlocks it.
func lockedStore(t *testing.T) (path string, unlock func()) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "r.db")
	if err := carryOut(parse(t, fmt.Sprintf(twoArms, 3)), path, &fakePlayer{play: func(Day, uint64) Result {
		return Result{Figures: map[string]float64{"service": 1}}
	}}); err != nil {
		t.Fatal(err)
	}
	file, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { file.Close() })
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		t.Fatal(err)
	}
	return path, func() { syscall.Flock(int(file.Fd()), syscall.LOCK_UN) }
}

// Open waits for the lock of a store, and calls OnLockWait once.
func TestOpenWaitsForTheLock(t *testing.T) {
	t.Parallel()
	path, unlock := lockedStore(t)
	notified := 0
	store, err := Open(path, OpenConfig{LockTimeout: time.Minute, OnLockWait: func(remaining time.Duration) {
		if notified++; remaining <= 0 || remaining > time.Minute {
			t.Errorf("OnLockWait got %v, want more than 0 and at most a minute", remaining)
		}
		unlock()
	}})
	if err != nil {
		t.Fatal(err)
	}
	store.Close()
	if notified != 1 {
		t.Errorf("OnLockWait was called %d times, want once", notified)
	}
}

// Open stops waiting after LockTimeout and returns ErrInUse.
func TestOpenGivesUpOnTheLock(t *testing.T) {
	t.Parallel()
	path, _ := lockedStore(t)
	notified, begin := 0, time.Now()
	_, err := Open(path, OpenConfig{LockTimeout: time.Second, OnLockWait: func(time.Duration) { notified++ }})
	if !errors.Is(err, ErrInUse) {
		t.Errorf("got error %v, want ErrInUse", err)
	}
	// bbolt polls the lock every 50 ms, and gives up early if the next poll would be after the timeout.
	if took := time.Since(begin); took < 800*time.Millisecond || notified != 1 {
		t.Errorf("Open gave up after %v and called OnLockWait %d times, want 800 ms or more and once", took, notified)
	}
}

// The default timeout covers the time that readers of a killed process usually keep its lock.
func TestDefaultLockTimeout(t *testing.T) {
	t.Parallel()
	begin := time.Now()
	if got := (OpenConfig{}).begin(begin).deadline.Sub(begin); got != 5*time.Second {
		t.Errorf("the default timeout is %v, want 5s", got)
	}
}

// largeChildBytes is the memory that a child started as "large" allocates, so that reading it takes long.
const largeChildBytes = 32 << 20

// largestRegion finds the largest private writable memory region of a process.
func largestRegion(t *testing.T, pid int) (from uintptr, size int) {
	t.Helper()
	maps, err := os.ReadFile(fmt.Sprintf("/proc/%d/maps", pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range bytes.Lines(maps) {
		var start, end uintptr
		var mode string
		if _, err := fmt.Sscanf(string(line), "%x-%x %s", &start, &end, &mode); err != nil {
			t.Fatal(err)
		}
		if mode == "rw-p" && int(end-start) > size {
			from, size = start, int(end-start)
		}
	}
	return from, size
}

// readMemory reads a process's memory repeatedly, in calls that take long, until the process has exited.
func readMemory(t *testing.T, pid int) (wait func()) {
	t.Helper()
	const vectors = 1024 // times that one call reads the same region into the same buffer: 2 GB in total, the maximum
	const readers = 8    // concurrent readers slow each other down, so that a call lasts long enough
	from, size := largestRegion(t, pid)
	size = min(size, largeChildBytes)
	buffer := make([]byte, size)
	remote, local := make([]unix.RemoteIovec, vectors), make([]unix.Iovec, vectors)
	for i := range vectors {
		remote[i] = unix.RemoteIovec{Base: from, Len: size}
		local[i].Base = &buffer[0]
		local[i].SetLen(size)
	}
	if _, err := unix.ProcessVMReadv(pid, local[:1], remote[:1], 0); err != nil {
		t.Skipf("this system doesn't let a process read its child: %v", err)
	}
	var ended sync.WaitGroup
	for range readers {
		ended.Go(func() {
			for err := error(nil); err == nil; {
				_, err = unix.ProcessVMReadv(pid, local, remote, 0)
			}
		})
	}
	return ended.Wait
}

// Opening a store right after its owner was killed must succeed, also while another process still reads the killed one's
// memory or its mappings in /proc: these reads keep the file's last mapping, and with it the lock. TestKilled failed now
// and then for this reason. How long the reads take depends on the machine, so Open waits for the lock itself.
func TestReadersOfAKilledProcessHoldItsLock(t *testing.T) {
	t.Parallel()
	if runtime.GOOS != "linux" {
		t.Skip("a process's memory as Linux shows it")
	}
	text, waits := "name = \"child\"\n"+fmt.Sprintf(twoArms, 1000), 0
	for round := 0; round < 20 && waits < 1; round++ {
		path := filepath.Join(t.TempDir(), "r.db")
		cmd := child(t, "large", text, path)
		out, err := cmd.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		if _, err := out.Read(make([]byte, len("played\n"))); err != nil {
			t.Fatal(err)
		}
		ended := readMemory(t, cmd.Process.Pid)
		time.Sleep(50 * time.Millisecond) // lets the readers enter their calls
		cmd.Process.Kill()
		cmd.Wait()
		store, err := Open(path, OpenConfig{LockTimeout: time.Minute, OnLockWait: func(time.Duration) { waits++ }})
		if err != nil {
			t.Fatalf("round %d: %v", round, err)
		}
		store.Close()
		ended()
	}
	if waits == 0 {
		t.Error("Open never had to wait for the lock of a killed process: this test no longer reproduces the problem")
	}
}
