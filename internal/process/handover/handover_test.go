package handover

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"pgregory.net/rapid"

	"marlreel/internal/testutil"
)

// A process reduces its share as soon as it sees another one, and reclaims it only after a delay.
func TestShares(t *testing.T) {
	t.Parallel()
	var tracker ShareTracker
	two := []Peer{{ID: 2}}
	at := time.Duration(0)
	look := func(after time.Duration, peers []Peer, of int) {
		t.Helper()
		at += after
		if s := tracker.Update(at, peers); s != (Share{1, of}) {
			t.Fatalf("at %v with %d others: share %v, want 1/%d", at, len(peers), s, of)
		}
	}
	look(0, nil, 1)
	look(pollInterval, two, 2)
	look(pollInterval, nil, 2) // the other process may only just have ended
	look(reclaimDelay-1, nil, 2)
	look(1, nil, 1)
	look(pollInterval, two, 2)
	look(pollInterval, nil, 2)
	look(pollInterval, two, 2) // the other process is back, which restarts the wait
	look(reclaimDelay, nil, 2)
	look(reclaimDelay, nil, 1)
	look(0, make([]Peer, 20), maxShares)
}

// As long as all processes see each other within one poll, their shares never add up to more than the capacity.
func TestSharesNeverExceedTheFullShare(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		const most = 3
		alive := map[int]*ShareTracker{}
		now := time.Duration(0)
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += pollInterval
			if id := rapid.IntRange(0, most-1).Draw(t, "who"); rapid.Bool().Draw(t, "changes") {
				if alive[id] == nil {
					alive[id] = &ShareTracker{}
				} else {
					delete(alive, id)
				}
			}
			sum := 0.0
			for id, m := range alive {
				var peers []Peer
				for other := range alive {
					if other != id {
						peers = append(peers, Peer{ID: other})
					}
				}
				s := m.Update(now, peers)
				sum += float64(s.Numerator) / float64(s.Denominator)
			}
			if sum > 1+1e-9 {
				t.Fatalf("step %d: %d processes have %v of the capacity", step, len(alive), sum)
			}
		}
	})
}

// TestHelperProcess is the main function of the process that startOther starts: it announces itself and waits to be
// killed.
func TestHelperProcess(t *testing.T) {
	dir := os.Getenv("MARLREEL_TEST_MEET")
	if dir == "" {
		t.Skip("runs only as the helper process of another test")
	}
	r, err := Join(dir)
	if err != nil {
		t.Fatal(err)
	}
	_ = r.SetStage(Serving)
	fmt.Println("joined")
	select {}
}

// startOther starts another process that announces itself in a folder. It ends with the test or when kill is called.
func startOther(t *testing.T, folder string) (other *exec.Cmd, kill func()) {
	t.Helper()
	other = exec.Command(os.Args[0], "-test.run=^TestHelperProcess$")
	other.Env = append(os.Environ(), "MARLREEL_TEST_MEET="+folder)
	if err := other.Start(); err != nil {
		t.Fatal(err)
	}
	kill = sync.OnceFunc(func() {
		_ = other.Process.Kill() // the process may have ended by itself
		_ = other.Wait()         // the error only reports the signal
	})
	t.Cleanup(kill)
	return other, kill
}

// A killed process no longer counts, whatever its file contains; neither does an unlocked file or one with another
// name.
func TestRendezvous(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	stale := filepath.Join(dir, processFilePrefix+"999999")
	if err := os.WriteFile(stale, []byte("1"), 0o600); err != nil {
		t.Fatal(err)
	}
	long := time.Now().Add(-time.Minute)
	if err := os.Chtimes(stale, long, long); err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string]string{processFilePrefix + "x": "", "other": "1"} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	me, err := Join(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer me.Close()
	if peers, err := me.Peers(); err != nil || len(peers) != 0 {
		t.Fatalf("%v %v", peers, err)
	}
	if _, err := os.Stat(stale); err == nil {
		t.Error("the file of a process that has ended is still there")
	}
	other, kill := startOther(t, dir)
	shares := make(chan Share, 8)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		me.Watch(ctx, func(s Share, _ []Peer) { shares <- s }, t.Logf)
	}()
	if s := testutil.Receive(t, shares, "half of the capacity"); s != (Share{1, 2}) {
		t.Fatal(s)
	}
	testutil.Eventually(t, "the other process to serve", func() bool {
		peers, _ := me.Peers()
		return len(peers) == 1 && peers[0].Stage == Serving && peers[0].ID == other.Process.Pid
	})
	kill()
	if s := testutil.Receive(t, shares, "the full capacity"); s != FullShare {
		t.Fatal(s)
	}
	cancel()
	<-done
}

// Concurrent inspections must not affect each other: none may take a dead process for alive because another process has
// its file open and locked for an inspection.
func TestConcurrentInspectionsDontInterfere(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	// A file in stage Serving, too young to be removed as stale.
	path := filepath.Join(dir, processFilePrefix+"1")
	if err := os.WriteFile(path, []byte{'0' + byte(Serving)}, 0o600); err != nil {
		t.Fatal(err)
	}
	young := time.Now().Add(time.Hour)
	if err := os.Chtimes(path, young, young); err != nil {
		t.Fatal(err)
	}
	var looks sync.WaitGroup
	for id := range 4 {
		looks.Go(func() {
			r := &Rendezvous{dir: dir, id: 10 + id}
			for range 5000 {
				if peers, err := r.Peers(); err != nil || len(peers) > 0 {
					t.Errorf("peers %v, error %v; no process is alive", peers, err)
					return
				}
			}
		})
	}
	looks.Wait()
}

// A process is visible once it has joined, even if others inspect its file while it is being created, or remove a stale
// file of the same name.
func TestJoinDuringConcurrentInspections(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	stop := make(chan struct{})
	var looks sync.WaitGroup
	for range 3 {
		looks.Go(func() {
			r := &Rendezvous{dir: dir, id: 1}
			for {
				select {
				case <-stop:
					return
				default:
					_, _ = r.Peers()
				}
			}
		})
	}
	defer looks.Wait()
	defer close(stop)
	other := &Rendezvous{dir: dir, id: 2}
	left := filepath.Join(dir, processFilePrefix+strconv.Itoa(os.Getpid()))
	long := time.Now().Add(-time.Minute)
	for n := range 2000 {
		if n%2 == 0 {
			if err := os.WriteFile(left, []byte("2"), 0o600); err != nil {
				t.Fatal(err)
			}
			_ = os.Chtimes(left, long, long)
		}
		me, err := Join(dir)
		if err != nil {
			t.Fatalf("%d: %v", n, err)
		}
		if peers, err := other.Peers(); err != nil || len(peers) != 1 || peers[0].ID != os.Getpid() || peers[0].Stage != Starting {
			t.Fatalf("%d: peers %v, error %v; want one that is starting", n, peers, err)
		}
		me.Close()
	}
}

// Joining fails with a JoinError within the timeout if another process keeps the file locked.
func TestJoinFailsOnALockedFile(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	locked, err := lockOwnFile(filepath.Join(dir, processFilePrefix+strconv.Itoa(os.Getpid())))
	if err != nil {
		t.Fatal(err)
	}
	defer locked.Close()
	var e *JoinError
	if _, err := Join(dir); !errors.As(err, &e) || !errors.Is(err, syscall.EWOULDBLOCK) {
		t.Errorf("error %v, want a JoinError", err)
	}
}
