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
	snapshotTimeout = 4 * callTimeout // for all pages together
)

// Follow keeps an observer up to date until ctx ends. It reads a snapshot and then watches; when a watch breaks, the
// next one resumes from there at the next endpoint. Each value of resync requests a new snapshot.
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
	known    membership.Snapshot // the next watch starts from its history and revision
	synced   bool                // false: a snapshot is needed first
}

// readSnapshot reads and reports a snapshot. After an error, it waits for the backoff and returns false.
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
	select { // a request made before the snapshot was read is fulfilled by it
	case <-f.resync:
	default:
	}
	f.observer.OnSnapshot(snapshot)
	f.known, f.synced = snapshot, true
	return true
}

// watch runs one watch and handles its end.
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

// watchUntilResync watches until the watch breaks or a snapshot is requested.
func (f *followLoop) watchUntilResync(ctx context.Context, observer Observer) (resync bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	requested := make(chan bool, 1)
	go func() {
		select {
		case <-f.resync:
			requested <- true
			cancel()
		case <-ctx.Done():
			requested <- false
		}
	}()
	err = f.client.Watch(ctx, f.known, observer)
	cancel()
	return <-requested, err
}

func (f *followLoop) onLost(err error) {
	f.observer.OnLost(oneLine(err))
	f.client.NextEndpoint()
}

// backoff is a delay that doubles each time. It has jitter, so that not all proxies call a restarted registry at once.
type backoff struct{ next time.Duration }

// delay returns the next delay, jittered between 0.5 and 1.5 times its nominal value.
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

// trackingObserver records how far a watch has come, so that the next one resumes from there.
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

// maxReasonBytes bounds the text of an error that is logged or shown.
const maxReasonBytes = 300

// oneLine returns an error's text as one line, as errors of registries may have several.
func oneLine(err error) string {
	if err == nil {
		return "it ended"
	}
	text := strings.Join(strings.Fields(err.Error()), " ")
	return text[:min(len(text), maxReasonBytes)]
}
