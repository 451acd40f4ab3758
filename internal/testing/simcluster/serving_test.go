package simcluster

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// sendAsync sends a request in the background. The returned function waits for the response, and fails the test if there
// is none.
func (c *Cluster) sendAsync(t *testing.T, edge *Machine, r Request) (await func() Response) {
	t.Helper()
	var got Response
	var err error
	var sent sync.WaitGroup
	sent.Go(func() { got, err = c.Send(edge, r) })
	return func() Response {
		t.Helper()
		sent.Wait()
		if err != nil {
			t.Fatalf("request %s to %s: %v", r.ID, edge.Name, err)
		}
		return got
	}
}

func TestStreamsAndPlainRequestsAreServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startCluster(t, controls, 2)
		for _, edge := range c.Edges {
			r := chatRequest("m0")
			got, err := c.Send(edge, r)
			is.NoErr(err)
			checkStream(t, r, got, 10)
			got, err = c.Send(edge, slipRequest())
			is.NoErr(err)
			is.Equal(got.Status, 200)
			got, err = c.Send(edge, Request{ID: newID(), Host: "a.example", Path: "/nothing/", Timeout: time.Second})
			is.NoErr(err)
			is.Equal(got.Status, 404)
		}
	})
}

// A resumable stream continues at another backend within the same response, with each event exactly once.
func TestBrokenStreamIsResumed(t *testing.T) {
	runWithCluster(t, func(t *testing.T, c *Cluster) {
		is := is.New(t)
		r := chatRequest("m0")
		r.Tokens = "1000,200"
		await := c.sendAsync(t, c.Edges[0], r)
		c.Sleep(time.Second)
		first := c.executionsOf(r.ID)
		is.Equal(len(first), 1)
		c.backend(first[0].Backend).Kill()
		got := await()
		checkStream(t, r, got, 100)
		executions := c.executionsOf(r.ID)
		is.Equal(len(executions), 2)
		is.True(executions[1].LastEventID > 0) // the second backend resumed the stream
		is.Equal(got.Seal, "seal."+first[0].Backend+"."+r.ID)
	})
}

// Guards against a stream that is executed more often than its route allows: a resumption counted all attempts before the
// first event as one.
func TestResumedStreamStaysWithinItsAttempts(t *testing.T) {
	runWithCluster(t, func(t *testing.T, c *Cluster) {
		is := is.New(t)
		c.AddBackend(llmBackend("i-5", "west", "m0"))
		c.Sleep(3 * time.Second)
		r := chatRequest("m0")
		r.Prompt, r.Tokens = "c1:20000", "20000,200" // the prompt takes a second, the events another one
		await := c.sendAsync(t, c.Edges[0], r)
		c.Sleep(300 * time.Millisecond)
		before := c.executionsOf(r.ID)
		is.Equal(len(before), 1)
		c.backend(before[0].Backend).Kill()
		c.Sleep(1500 * time.Millisecond)
		for _, execution := range c.executionsOf(r.ID) {
			c.backend(execution.Backend).Kill()
		}
		got := await()
		is.Equal(len(c.executionsOf(r.ID)), 2) // max_attempts
		is.Equal(got.Status, 200)
		is.True(len(got.Events) > 1)
		is.True(!got.Complete)
	})
}

// An unsafe request is executed at most once, and never if its response guarantees that it was not.
func TestUnsafeRequestRunsAtMostOnce(t *testing.T) {
	runWithCluster(t, func(t *testing.T, c *Cluster) {
		is := is.New(t)
		for i := range 20 {
			r := slipRequest()
			await := c.sendAsync(t, c.Edges[i%3], r)
			c.Sleep(10 * time.Millisecond)
			if executions := c.executionsOf(r.ID); i == 7 && len(executions) == 1 {
				c.backend(executions[0].Backend).Kill()
			}
			got := await()
			count := len(c.executionsOf(r.ID))
			is.True(count <= 1)
			switch got.Status {
			case 503, 429:
				is.Equal(count, 0)
			case 200:
				is.Equal(count, 1)
			}
		}
	})
}

func TestDrainingProxyAnswersAllRequests(t *testing.T) {
	runWithCluster(t, func(t *testing.T, c *Cluster) {
		is := is.New(t)
		running, waiting := chatRequest("m0"), chatRequest("m2")
		running.Tokens = "1000,100" // takes a second
		awaitRunning := c.sendAsync(t, c.Edges[0], running)
		c.Sleep(200 * time.Millisecond)
		awaitWaiting := c.sendAsync(t, c.Edges[0], waiting)
		c.Sleep(50 * time.Millisecond)
		c.Edges[0].Terminate()
		checkStream(t, running, awaitRunning(), 50)
		got := awaitWaiting()
		is.True(got.Status == 200 || got.Status == 503) // either response is allowed
		if got.Status == 503 {
			is.Equal(len(c.executionsOf(waiting.ID)), 0)
		}
	})
}

// A proxy that is disconnected from control continues to serve its last known state.
func TestProxiesServeWithoutControl(t *testing.T) {
	runWithCluster(t, func(t *testing.T, c *Cluster) {
		for _, m := range c.Controls {
			m.Kill()
		}
		c.Sleep(20 * time.Second)
		c.checkServed(t, c.Edges, "/slip/1", 200)
		c.startControls()
		c.Sleep(5 * time.Second)
		c.replaceConfiguration(t, documentWithSlipsAt("/back/"), 5*time.Second)
	})
}
