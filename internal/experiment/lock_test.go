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

// lockedStore is a store that somebody else has locked, and what lets go of the lock.
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

// A store whose lock is still held is waited for, and whoever waits is told once.
func TestOpenWaitsForTheLock(t *testing.T) {
	t.Parallel()
	path, unlock := lockedStore(t)
	told := 0
	store, err := Open(path, OpenConfig{LockTimeout: time.Minute, OnLockWait: func(remaining time.Duration) {
		if told++; remaining <= 0 || remaining > time.Minute {
			t.Errorf("it waits for %v more", remaining)
		}
		unlock()
	}})
	if err != nil {
		t.Fatal(err)
	}
	store.Close()
	if told != 1 {
		t.Errorf("told %d times", told)
	}
}

// The wait ends at its bound with the error that names the cause.
func TestOpenGivesUpOnTheLock(t *testing.T) {
	t.Parallel()
	path, _ := lockedStore(t)
	told, begin := 0, time.Now()
	_, err := Open(path, OpenConfig{LockTimeout: time.Second, OnLockWait: func(time.Duration) { told++ }})
	if !errors.Is(err, ErrInUse) {
		t.Errorf("it is %v", err)
	}
	// The library looks at the lock every 50 ms, and ends a wait in which the next look would come too late.
	if took := time.Since(begin); took < 800*time.Millisecond || told != 1 {
		t.Errorf("it gave up after %v, and told of it %d times", took, told)
	}
}

// Unless the configuration says otherwise, a killed process's lock is waited for as long as its readers usually take.
func TestDefaultLockTimeout(t *testing.T) {
	t.Parallel()
	begin := time.Now()
	if got := (OpenConfig{}).begin(begin).deadline.Sub(begin); got != 5*time.Second {
		t.Errorf("it is %v", got)
	}
}

// largeChildBytes is what a child called "large" has in its memory, so that one read of it takes long.
const largeChildBytes = 32 << 20

// largestRegion is the largest part of a process's memory that can be read.
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

// readMemory reads a process's memory over and over, in calls that take long, until the process is gone.
func readMemory(t *testing.T, pid int) (wait func()) {
	t.Helper()
	const vectors = 1024 // as many times a call reads the same region into the same buffer: 2 GB in all, as much as it can
	const readers = 8    // each slows the others down, so that a call lasts long enough
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

// TestKilled was red now and then: a killed process's lock lasts as long as somebody reads its memory or its mappings
// in /proc, since the lock goes with the last mapping of the file. A store is opened all the same, as soon as the last
// read is over: how long these readers take depends on the machine, and the lock's end is the event that is waited for.
func TestReadersOfAKilledProcessHoldItsLock(t *testing.T) {
	t.Parallel()
	if runtime.GOOS != "linux" {
		t.Skip("a process's memory as Linux shows it")
	}
	text, held := "name = \"child\"\n"+fmt.Sprintf(twoArms, 1000), 0
	for round := 0; round < 20 && held < 1; round++ {
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
		time.Sleep(50 * time.Millisecond) // the readers are within their calls
		cmd.Process.Kill()
		cmd.Wait()
		store, err := Open(path, OpenConfig{LockTimeout: time.Minute, OnLockWait: func(time.Duration) { held++ }})
		if err != nil {
			t.Fatalf("round %d: %v", round, err)
		}
		store.Close()
		ended()
	}
	if held == 0 {
		t.Error("nobody held the lock of a killed process: this test makes no longer what it is for")
	}
}
