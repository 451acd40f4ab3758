package watch

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	"marlreel/internal/api"
	"marlreel/internal/process/logevent"
	"marlreel/internal/process/timing"
)

// Source answers the polls of subscribers. It is a control process or an agent.
type Source interface {
	Watch(ctx context.Context, request *api.WatchRequest) (*api.WatchReply, error)
}

// SubscriberConfig configures a subscriber.
type SubscriberConfig struct {
	Name    string                      // the subscribing node; empty: an agent's own proxy
	Topics  Topics                      // empty: everything
	Sources func() []string             // addresses of the sources, the preferred one first
	Connect func(address string) Source // returns the client of a source
	OnReply func(changed bool)          // called after each reply has been applied; may be nil
	MaxWait time.Duration               // how long a source may keep a poll open without an update
	Log     logr.Logger
}

const (
	// replySlack is how much longer than its wait a poll may take. Raising it delays the detection of a source that
	// hangs; lowering it makes polls over slow links fail.
	replySlack = 400 * time.Millisecond
	// minBackoff and maxBackoff are the pauses after the first failure and after many. Raising them delays updates after
	// an interruption; lowering them adds load to sources that are already overloaded.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 300 * time.Millisecond
	// staleAfter is the time without any reply after which the data counts as stale. Raising it hides a partition from
	// the proxies for longer; lowering it makes a failover to another source look like a partition.
	staleAfter = 600 * time.Millisecond
	// failbackAfter is the time on another source after which the preferred one is tried again. Raising it keeps more
	// subscribers at control after a relay's restart; lowering it costs more failed polls while the relay is down.
	failbackAfter = 5 * time.Second
	// maxStaleSource is how long a subscriber stays with a source that is not fresh. Raising it delays updates if the
	// source is cut off from control; lowering it makes subscribers move at each view change of the chain.
	maxStaleSource = 300 * time.Millisecond
)

// subscriber polls one source at a time. Only the goroutine of RunSubscriber uses it.
type subscriber struct {
	store  *Store
	cfg    SubscriberConfig
	cursor *Cursor

	preferred     string    // the first of the sources at the last poll
	failovers     int       // since the preferred source was chosen; modulo the number of sources, the index of the current one
	failedOver    time.Time // when the last failover was
	lastReply     time.Time
	notFreshSince time.Time // when the source started to report that it is not fresh; zero: it is fresh
	backoff       time.Duration
}

// RunSubscriber keeps a store up to date from one of its sources until ctx ends. It stays with a source that replies and
// is fresh. Otherwise it fails over to the next source, and tries the preferred one again after failbackAfter.
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
			return // don't apply the reply: another subscriber may have taken over these topics by now
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

// poll makes one call. While the store is not fresh the wait is shorter, so that a source that is not fresh either is
// soon replaced by another one.
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

// onFailure fails over to the next source and pauses before the next poll.
func (s *subscriber) onFailure(ctx context.Context, address string, err error) {
	s.cfg.Log.V(1).Info(logevent.WatchSourceFailed, logevent.KeySource, address, logevent.KeyDetail, err.Error())
	s.failOver()
	if time.Since(s.lastReply) > staleAfter {
		s.store.MarkStale(s.cfg.Topics)
	}
	timing.Sleep(ctx, s.backoff)
	s.backoff = min(2*s.backoff, maxBackoff)
}

// onReply applies a reply. It fails over to another source, if there is one, when the current one has not been fresh for
// maxStaleSource.
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
