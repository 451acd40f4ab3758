package watch

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	"marlreel/internal/api"
)

// Source serves a feed: a control process, or an agent.
type Source interface {
	Watch(ctx context.Context, request *api.WatchRequest) (*api.WatchReply, error)
}

// SubscriberConfig says how a feed is followed.
type SubscriberConfig struct {
	Name    string                      // who follows; empty: an agent's own proxy
	Topics  Topics                      // what is followed; none: everything
	Sources func() []string             // whom to ask, the best first
	Connect func(address string) Source // by address
	OnReply func(changed bool)          // called after each answer; may be nil
	MaxWait time.Duration               // how long an answer without news may take
	Log     logr.Logger
}

const (
	// answerSlack is how much longer than its wait an answer may take.
	answerSlack = 400 * time.Millisecond
	// leastPause and mostPause are between two tries that failed.
	leastPause = 20 * time.Millisecond
	mostPause  = 300 * time.Millisecond
	// silentAfter is after what time without an answer nothing counts as fresh.
	silentAfter = 600 * time.Millisecond
	// returnAfter is after what time the first source is tried again.
	returnAfter = 5 * time.Second
	// staleAfter is after what time a source that has no majority is left for another.
	staleAfter = 300 * time.Millisecond
)

// RunSubscriber takes in what sources serve until ctx ends. It stays with one source while that
// answers and its word is fresh, and else goes on to the next.
func RunSubscriber(ctx context.Context, store *Store, cfg SubscriberConfig) {
	cursor, at, pause := NewCursor(cfg.Topics), 0, leastPause
	var staleSince time.Time
	answered := time.Now()
	preferred, turnedAway := "", time.Now()
	for ctx.Err() == nil {
		targets := cfg.Sources()
		if len(targets) == 0 {
			rest(ctx, mostPause)
			continue
		}
		if targets[0] != preferred || at%len(targets) != 0 && time.Since(turnedAway) > returnAfter {
			preferred, at = targets[0], 0
		}
		address := targets[at%len(targets)]
		feed, err := ask(ctx, store, &cfg, address, cursor)
		if ctx.Err() != nil {
			return // another reader may follow these topics by now
		}
		if err != nil {
			cfg.Log.V(1).Info("the source does not answer", "event", "feed", "source", address, "error", err.Error())
			at++
			turnedAway = time.Now()
			if time.Since(answered) > silentAfter {
				store.MarkStale(cfg.Topics)
			}
			rest(ctx, pause)
			pause = min(2*pause, mostPause)
			continue
		}
		pause, answered = leastPause, time.Now()
		changed := store.ApplyReply(feed, cursor)
		if cfg.OnReply != nil {
			cfg.OnReply(changed)
		}
		if feed.Fresh {
			staleSince = time.Time{}
			continue
		}
		if staleSince.IsZero() {
			staleSince = time.Now()
		}
		if time.Since(staleSince) > staleAfter && len(targets) > 1 {
			at++
			turnedAway = time.Now()
			staleSince = time.Time{}
		}
		rest(ctx, leastPause)
	}
}

func ask(ctx context.Context, store *Store, cfg *SubscriberConfig, address string, cursor *Cursor) (*api.WatchReply, error) {
	request := store.NewRequest(cursor)
	wait := cfg.MaxWait
	if !store.Fresh(cfg.Topics) {
		wait = min(wait, staleAfter)
	}
	request.WaitMs, request.Subscriber = uint32(wait.Milliseconds()), cfg.Name
	call, cancel := context.WithTimeout(ctx, wait+answerSlack)
	defer cancel()
	return cfg.Connect(address).Watch(call, request)
}

func rest(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
