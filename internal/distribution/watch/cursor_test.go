package watch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func backendIDs(s *Store) []string {
	var ids []string
	for _, b := range s.Backends() {
		ids = append(ids, b.Id)
	}
	return ids
}

// A backend that the source doesn't list is removed only once the source is established, and only if the subscriber
// watches the backend's service at that source.
func TestUnlistedBackendIsRemovedOnceTheSourceIsEstablished(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		first := New("first", time.Now)
		first.RecordBackend(backend("a", "llm"))
		first.RecordBackend(backend("b", "slips"))
		subscriber := newTestSubscriber(first)
		subscriber.poll()
		second := New("second", time.Now)
		subscriber.source, subscriber.cursor = second, NewCursor(Topics{ServiceTopic("slips")})
		subscriber.poll()
		is.Equal(backendIDs(subscriber.store), []string{"a", "b"}) // their heartbeats may not have reached the source yet
		second.SetSourceStatus(SourceStatus{Fresh: true, Established: true})
		subscriber.poll()
		is.Equal(backendIDs(subscriber.store), []string{"a"})
	})
}
