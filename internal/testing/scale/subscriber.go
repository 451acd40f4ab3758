package scale

import (
	"sync"
	"time"
)

// subscriber stands in for a proxy: it follows its agent, and records when each version of the configuration came.
type subscriber struct {
	mu         sync.Mutex
	receivedAt map[uint64]time.Time // by version
}

func newSubscriber() *subscriber { return &subscriber{receivedAt: map[uint64]time.Time{}} }

// record notes that a version is there now.
func (s *subscriber) record(version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.receivedAt[version]; !known {
		s.receivedAt[version] = time.Now()
	}
}

// received returns when a version came, if it has.
func (s *subscriber) received(version uint64) (at time.Time, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, known = s.receivedAt[version]
	return at, known
}
