package watch

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"marlreel/internal/api"
)

// afterDelay makes a change after a delay, while a subscriber waits.
func afterDelay(t *testing.T, delay time.Duration, change func()) {
	t.Helper()
	timer := time.AfterFunc(delay, change)
	t.Cleanup(func() { timer.Stop() })
}

func TestFirstUpdateAfterAQuietTimeIsSentAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		source := New("source", time.Now)
		subscriber := newTestSubscriber(source)
		subscriber.poll()
		afterDelay(t, 2*batchWindow, func() { source.RecordBackend(backend("a", "llm")) })
		took, backends := subscriber.poll()
		is.Equal(took, 2*batchWindow)
		is.Equal(backends, 1)
	})
}

func TestUpdatesOfBackendsAreBatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		source := New("source", time.Now)
		subscriber := newTestSubscriber(source)
		subscriber.poll()
		for i, id := range []string{"a", "b", "c"} {
			afterDelay(t, time.Duration(1+i)*batchWindow/8, func() { source.RecordBackend(backend(id, "llm")) })
		}
		took, backends := subscriber.poll()
		is.Equal(took, batchWindow)
		is.Equal(backends, 3)
	})
}

func TestUpdatesOfTheStateAreNotBatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		source := New("source", time.Now)
		subscriber := newTestSubscriber(source)
		subscriber.poll()
		afterDelay(t, batchWindow/8, func() { source.RecordBackend(backend("a", "llm")) })
		afterDelay(t, batchWindow/4, func() { source.InstallSnapshot(1, 7, &api.State{}) })
		took, backends := subscriber.poll()
		is.Equal(took, batchWindow/4)
		is.Equal(backends, 1)
		sequence, _ := subscriber.store.Position()
		is.Equal(sequence, uint64(1))
	})
}

func TestSubscriberGetsItsTopicsAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		source := New("source", time.Now)
		source.RecordBackend(backend("a", "llm"))
		source.RecordBackend(backend("b", "slips"))
		subscriber := newTestSubscriber(source, ServiceTopic("slips"))
		_, backends := subscriber.poll()
		is.Equal(backends, 1)
		afterDelay(t, batchWindow, func() {
			source.RecordBackend(backend("c", "llm"))
			source.InstallSnapshot(1, 7, &api.State{})
		})
		took, backends := subscriber.poll()
		is.Equal(took, pollTimeout) // no change concerns its topic
		is.Equal(backends, 0)
		sequence, _ := subscriber.store.Position()
		is.Equal(sequence, uint64(0))
	})
}

// A relay passes updates on sooner to subscribers of single topics than to its own proxy, which watches everything.
func TestRelayPassesUpdatesOnSooner(t *testing.T) {
	for name, c := range map[string]struct {
		topics []Topic
		window time.Duration
	}{
		"an agent": {[]Topic{ServiceTopic("llm")}, relayBatchWindow}, "its proxy": {nil, batchWindow},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				source := New("relay", time.Now)
				source.BatchAsRelay()
				subscriber := newTestSubscriber(source, c.topics...)
				subscriber.poll()
				afterDelay(t, time.Millisecond, func() { source.RecordBackend(backend("a", "llm")) })
				took, backends := subscriber.poll()
				is.Equal(took, c.window)
				is.Equal(backends, 1)
			})
		})
	}
}

// Guards against traffic that grows with the square of the number of nodes when all of them start: a subscriber gets the
// list once per batch window, whatever the size of the site.
func TestUpdatesOfNodesAreBatched(t *testing.T) {
	const start = time.Second // all nodes report for the first time within this
	for _, nodes := range []int{9, 42, 295} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				source := New("source", time.Now)
				subscriber := newTestSubscriber(source, TopicState)
				subscriber.poll()
				began := time.Now()
				for i := range nodes {
					name := fmt.Sprint("edge-", i)
					afterDelay(t, start*time.Duration(i)/time.Duration(nodes), func() { source.RecordNode(&api.Node{Name: name}) })
				}
				polls := 0
				for len(subscriber.store.Nodes()) < nodes {
					subscriber.poll()
					polls++
				}
				is.True(polls <= int(start/batchWindow)+1)
				is.True(time.Since(began) <= start+batchWindow)
			})
		})
	}
}
