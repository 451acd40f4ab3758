package registry

import (
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"time"

	"marlreel/internal/discovery/membership"
)

const (
	minBackoff      = 100 * time.Millisecond
	maxBackoff      = 5 * time.Second
	snapshotTimeout = 4 * callTimeout // of all pages
)

// Follow keeps an observer up to date until ctx ends: by a snapshot, then by watches from where the one before broke,
// at the next endpoint. Each value of resync asks for another snapshot.
func Follow(ctx context.Context, client Client, observer Observer, resync <-chan struct{}) {
	f := &followLoop{client: client, observer: observer, resync: resync, backoff: backoff{next: minBackoff}}
	for ctx.Err() == nil {
		if !f.synced && !f.readSnapshot(ctx) {
			continue
		}
		f.watch(ctx)
	}
}

// followLoop is the state of Follow.
type followLoop struct {
	client   Client
	observer Observer
	resync   <-chan struct{}
	backoff  backoff
	known    membership.Snapshot // its history and revision are where the next watch starts
	synced   bool                // false: a snapshot is needed first
}

// readSnapshot reports a snapshot, or waits after an error and returns false.
func (f *followLoop) readSnapshot(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	snapshot, err := f.client.ReadSnapshot(callCtx)
	cancel()
	if ctx.Err() != nil {
		return false
	}
	if err != nil {
		f.onLost(err)
		f.backoff.wait(ctx)
		return false
	}
	select { // this one answers a request from before it was read
	case <-f.resync:
	default:
	}
	f.observer.OnSnapshot(snapshot)
	f.known, f.synced = snapshot, true
	return true
}

// watch makes one watch and handles its end.
func (f *followLoop) watch(ctx context.Context) {
	start := time.Now()
	tracking := &trackingObserver{Observer: f.observer, known: &f.known}
	resync, err := f.watchUntilResync(ctx, tracking)
	if ctx.Err() != nil {
		return
	}
	if tracking.progressed || time.Since(start) > 2*maxBackoff {
		f.backoff.next = minBackoff
	}
	switch {
	case resync:
		f.synced = false
	case errors.Is(err, ErrCompacted):
		f.observer.OnCompacted()
		f.synced = false
	case errors.Is(err, ErrHistoryReplaced):
		f.synced = false
	default:
		f.onLost(err)
	}
	f.backoff.wait(ctx)
}

// watchUntilResync watches until the watch breaks, or a snapshot is asked for.
func (f *followLoop) watchUntilResync(ctx context.Context, observer Observer) (resync bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	asked := make(chan bool, 1)
	go func() {
		select {
		case <-f.resync:
			asked <- true
			cancel()
		case <-ctx.Done():
			asked <- false
		}
	}()
	err = f.client.Watch(ctx, f.known, observer)
	cancel()
	return <-asked, err
}

func (f *followLoop) onLost(err error) {
	f.observer.OnLost(oneLine(err))
	f.client.NextEndpoint()
}

// backoff is a wait that doubles each time. With jitter: a registry that was restarted is not met by all proxies at
// once.
type backoff struct{ next time.Duration }

// delay returns the next wait, from half of it to one and a half.
func (b *backoff) delay() time.Duration {
	delay := b.next/2 + time.Duration(rand.Int64N(int64(b.next)))
	b.next = min(2*b.next, maxBackoff)
	return delay
}

func (b *backoff) wait(ctx context.Context) { sleep(ctx, b.delay()) }

// sleep waits for a delay, or until ctx ends.
func sleep(ctx context.Context, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// trackingObserver notes how far a watch has come: the next one continues from there.
type trackingObserver struct {
	Observer
	known      *membership.Snapshot
	progressed bool
}

// OnSnapshot implements Observer.
func (o *trackingObserver) OnSnapshot(snapshot membership.Snapshot) {
	*o.known, o.progressed = membership.Snapshot{History: snapshot.History, Revision: snapshot.Revision}, true
	o.Observer.OnSnapshot(snapshot)
}

// OnUpdate implements Observer.
func (o *trackingObserver) OnUpdate(update membership.Update) {
	o.known.Revision, o.progressed = max(o.known.Revision, update.Revision), true
	o.Observer.OnUpdate(update)
}

// OnProgress implements Observer.
func (o *trackingObserver) OnProgress(revision int64) {
	o.known.Revision, o.progressed = max(o.known.Revision, revision), true
	o.Observer.OnProgress(revision)
}

// maxReasonBytes bounds what is logged of an error.
const maxReasonBytes = 300

// oneLine is an error's text in one line. Texts of registries may have several.
func oneLine(err error) string {
	if err == nil {
		return "it ended"
	}
	text := strings.Join(strings.Fields(err.Error()), " ")
	return text[:min(len(text), maxReasonBytes)]
}
