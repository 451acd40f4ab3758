package scale

import (
	"sync"
	"time"
)

// subscriber replaces a proxy: it watches its agent and records when each version of the configuration arrives.
type subscriber struct {
	mu         sync.Mutex
	receivedAt map[uint64]time.Time // by version
}

func newSubscriber() *subscriber { return &subscriber{receivedAt: map[uint64]time.Time{}} }

// record stores the time of the first arrival of a version.
func (s *subscriber) record(version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.receivedAt[version]; !known {
		s.receivedAt[version] = time.Now()
	}
}

// received returns when a version arrived; known is false if it has not.
func (s *subscriber) received(version uint64) (at time.Time, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, known = s.receivedAt[version]
	return at, known
}
