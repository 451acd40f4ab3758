package watch

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	"marlreel/internal/api"
	"marlreel/internal/process/logevent"
	"marlreel/internal/process/timing"
)

// Source serves watches: a control process, or an agent.
type Source interface {
	Watch(ctx context.Context, request *api.WatchRequest) (*api.WatchReply, error)
}

// SubscriberConfig says what a subscriber watches and where.
type SubscriberConfig struct {
	Name    string                      // of the subscribing node; empty: an agent's own proxy
	Topics  Topics                      // empty: everything
	Sources func() []string             // addresses of the sources, the preferred one first
	Connect func(address string) Source // returns the client of a source
	OnReply func(changed bool)          // called after each reply was applied; may be nil
	MaxWait time.Duration               // how long a source may hold a poll that has no update
	Log     logr.Logger
}

const (
	// replySlack is how much longer than its wait a poll may take. Raising it lets a source that hangs go unnoticed for
	// longer, lowering it makes polls over slow links fail.
	replySlack = 400 * time.Millisecond
	// minBackoff and maxBackoff are the pauses after a first and after many failures. Raising them delays updates after
	// an interruption; lowering them loads sources that are overloaded already.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 300 * time.Millisecond
	// staleAfter is after what time without any reply what is known counts as stale. Raising it hides a partition from
	// the proxies for longer; lowering it makes a change of the source look like one.
	staleAfter = 600 * time.Millisecond
	// failbackAfter is after what time on another source the preferred one is asked again. Raising it keeps more
	// subscribers at control after a relay's restart; lowering it costs more failed polls while the relay is down.
	failbackAfter = 5 * time.Second
	// maxStaleSource is after what time a source that is not fresh is left for another one. Raising it delays updates
	// where the source is cut off from control; lowering it moves subscribers during each change of the chain's view.
	maxStaleSource = 300 * time.Millisecond
)

// subscriber polls one source at a time. It belongs to the goroutine of RunSubscriber.
type subscriber struct {
	store  *Store
	cfg    SubscriberConfig
	cursor *Cursor

	preferred     string    // the first of the sources at the last poll
	failovers     int       // since the preferred source was asked first: the index of the source, modulo their number
	failedOver    time.Time // when the last of them was
	lastReply     time.Time
	notFreshSince time.Time // since when the source says that it is not fresh; zero: it is fresh
	backoff       time.Duration
}

// RunSubscriber keeps a store up to date from one of its sources until ctx ends. It stays with a source while that
// replies and is fresh, goes on to the next one otherwise, and returns to the preferred one in time.
func RunSubscriber(ctx context.Context, store *Store, cfg SubscriberConfig) {
	s := &subscriber{store: store, cfg: cfg, cursor: NewCursor(cfg.Topics), backoff: minBackoff}
	s.lastReply = time.Now()
	s.failedOver = time.Now()
	for ctx.Err() == nil {
		sources := cfg.Sources()
		if len(sources) == 0 {
			timing.Sleep(ctx, maxBackoff)
			continue
		}
		address := s.choose(sources)
		reply, err := s.poll(ctx, address)
		if ctx.Err() != nil {
			return // another subscriber may have taken over these topics by now
		}
		if err != nil {
			s.onFailure(ctx, address, err)
			continue
		}
		s.onReply(ctx, reply, len(sources) > 1)
	}
}

// choose returns the source to poll.
func (s *subscriber) choose(sources []string) string {
	current := s.failovers % len(sources)
	if sources[0] != s.preferred || current != 0 && time.Since(s.failedOver) > failbackAfter {
		s.preferred, s.failovers, current = sources[0], 0, 0
	}
	return sources[current]
}

// poll makes one call. While the store is not fresh it waits less, so that a source that is not either is left soon.
func (s *subscriber) poll(ctx context.Context, address string) (*api.WatchReply, error) {
	request := s.store.NewRequest(s.cursor)
	wait := s.cfg.MaxWait
	if !s.store.Fresh(s.cfg.Topics) {
		wait = min(wait, maxStaleSource)
	}
	request.WaitMs, request.Subscriber = uint32(wait.Milliseconds()), s.cfg.Name
	call, cancel := context.WithTimeout(ctx, wait+replySlack)
	defer cancel()
	return s.cfg.Connect(address).Watch(call, request)
}

// onFailure goes on to the next source, after a pause.
func (s *subscriber) onFailure(ctx context.Context, address string, err error) {
	s.cfg.Log.V(1).Info(logevent.WatchSourceFailed, logevent.KeySource, address, logevent.KeyDetail, err.Error())
	s.failOver()
	if time.Since(s.lastReply) > staleAfter {
		s.store.MarkStale(s.cfg.Topics)
	}
	timing.Sleep(ctx, s.backoff)
	s.backoff = min(2*s.backoff, maxBackoff)
}

// onReply applies a reply, and leaves a source that has not been fresh for some time if there is another one.
func (s *subscriber) onReply(ctx context.Context, reply *api.WatchReply, hasAlternative bool) {
	s.backoff, s.lastReply = minBackoff, time.Now()
	changed := s.store.ApplyReply(reply, s.cursor)
	if s.cfg.OnReply != nil {
		s.cfg.OnReply(changed)
	}
	if reply.Fresh {
		s.notFreshSince = time.Time{}
		return
	}
	if s.notFreshSince.IsZero() {
		s.notFreshSince = time.Now()
	}
	if time.Since(s.notFreshSince) > maxStaleSource && hasAlternative {
		s.failOver()
		s.notFreshSince = time.Time{}
	}
	timing.Sleep(ctx, minBackoff)
}

func (s *subscriber) failOver() {
	s.failovers++
	s.failedOver = time.Now()
}
