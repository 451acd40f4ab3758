package platformwatch

import (
	"bufio"
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"
)

// callEvent is an event of a watch call.
type callEvent struct {
	id   int
	kind callEventKind
	list *List // the list of a line, if any; when the call ended, the drains of a malformed list, if any
	err  error // why the call ended
}

type callEventKind uint8

const (
	headReceived callEventKind = iota
	lineReceived               // a complete line: a list, or blank
	callEnded
)

// watchLoop keeps one watch up. Its goroutine alone starts and cancels calls and handles their events, so no event of a
// cancelled call is handled.
type watchLoop struct {
	*follower
	scheduler  callScheduler
	start      time.Time // when the scheduler's clock was 0
	generation uint32    // of the last list or change
	events     chan callEvent
	calls      map[int]context.CancelFunc // running and not cancelled
	running    sync.WaitGroup             // all calls
	lastError  string                     // last error logged; repeats of it are not logged
}

// follow keeps a watch up, starting from a generation, until ctx ends. It returns when all its calls have ended.
func (f *follower) follow(ctx context.Context, generation uint32) {
	loop := &watchLoop{
		follower: f, start: time.Now(), generation: generation,
		// A whole fleet may be starting with this process, so start as after a failure.
		scheduler: callScheduler{timings: f.timings, jitter: rand.Float64, failures: 1},
		events:    make(chan callEvent), calls: map[int]context.CancelFunc{},
	}
	loop.run(ctx)
}

func (l *watchLoop) run(ctx context.Context) {
	defer l.running.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case event := <-l.events:
			l.handle(event)
		}
		overdue, id, next := l.scheduler.step(l.now())
		l.cancelCalls(overdue)
		if id != 0 {
			l.startCall(ctx, id)
		}
		timer.Reset(max(next-l.now(), 0))
	}
}

func (l *watchLoop) now() time.Duration { return time.Since(l.start) }

func (l *watchLoop) startCall(ctx context.Context, id int) {
	ctx, cancel := context.WithCancel(ctx)
	l.calls[id] = cancel
	generation := l.generation
	l.running.Go(func() { l.watchOnce(ctx, id, generation, l.events) })
}

func (l *watchLoop) cancelCalls(ids []int) {
	for _, id := range ids {
		l.calls[id]()
		delete(l.calls, id)
	}
}

func (l *watchLoop) handle(event callEvent) {
	switch event.kind {
	case headReceived:
		l.scheduler.onHead(l.now(), event.id)
	case lineReceived:
		l.onLine(event)
	case callEnded:
		l.onEnd(event)
	}
}

func (l *watchLoop) onLine(event callEvent) {
	unwanted, use := l.scheduler.onLine(l.now(), event.id)
	l.cancelCalls(unwanted)
	if use && event.list != nil {
		l.generation, l.lastError = event.list.Generation, ""
		l.onList(event.list)
	}
}

func (l *watchLoop) onEnd(event callEvent) {
	if l.calls[event.id] == nil {
		return
	}
	l.cancelCalls([]int{event.id})
	if event.list != nil {
		l.onList(event.list) // the drains of a malformed list, whose generation is not used
	}
	wasLive := l.scheduler.onEnd(l.now(), event.id)
	text := event.err.Error()
	if wasLive || text != l.lastError {
		l.lastError = text
		l.logf("discovery: watch ended: %v", event.err)
	}
}

// watchOnce makes one watch call and sends its events until the call or ctx ends.
func (f *follower) watchOnce(ctx context.Context, id int, generation uint32, events chan<- callEvent) {
	send := func(event callEvent) bool {
		event.id = id
		select {
		case events <- event:
			return true
		case <-ctx.Done():
			return false
		}
	}
	body, err := f.get(ctx, "?watch=1&from="+strconv.FormatUint(uint64(generation), 10))
	if err != nil {
		send(callEvent{kind: callEnded, err: err})
		return
	}
	defer body.Close()
	if !send(callEvent{kind: headReceived}) {
		return
	}
	lists := listReader{in: bufio.NewReader(body)}
	for {
		list, err := f.nextList(&lists)
		if err != nil {
			// A malformed line may hide a change. The watch is dropped, the current list stays in force, and the
			// next watch sends the missed changes.
			send(callEvent{kind: callEnded, list: list, err: err})
			return
		}
		if !send(callEvent{kind: lineReceived, list: list}) {
			return
		}
	}
}

// nextList reads the next list of a watch. It returns nil for a blank line.
func (f *follower) nextList(lists *listReader) (*List, error) {
	text, err := lists.next()
	if err != nil || len(text) == 0 {
		return nil, err
	}
	return f.parseList(text)
}
