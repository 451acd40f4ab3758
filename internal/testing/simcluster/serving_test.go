package simcluster

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestStreamsAndPlainRequestsAreServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startCluster(t, controls, 2)
		defer c.Stop()
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

// A stream that may be resumed goes on elsewhere within one answer, with every event once.
func TestBrokenStreamIsResumed(t *testing.T) {
	runWithCluster(t, func(t *testing.T, c *Cluster) {
		is := is.New(t)
		r := chatRequest("m0")
		r.Tokens = "1000,200"
		var got Response
		var err error
		var asked sync.WaitGroup
		asked.Go(func() { got, err = c.Send(c.Edges[0], r) })
		c.Sleep(time.Second)
		first := c.executionsOf(r.ID)
		is.Equal(len(first), 1)
		c.backend(first[0].Backend).Kill()
		asked.Wait()
		is.NoErr(err)
		checkStream(t, r, got, 100)
		runs := c.executionsOf(r.ID)
		is.Equal(len(runs), 2)
		is.True(runs[1].LastEventID > 0) // it did not begin anew
		is.Equal(got.Seal, "seal."+first[0].Backend+"."+r.ID)
	})
}

// What can't be repeated runs once at most, and its failure promises nothing.
func TestUnsafeRequestRunsAtMostOnce(t *testing.T) {
	runWithCluster(t, func(t *testing.T, c *Cluster) {
		is := is.New(t)
		for i := range 20 {
			r := slipRequest()
			var got Response
			var err error
			var asked sync.WaitGroup
			asked.Go(func() { got, err = c.Send(c.Edges[i%3], r) })
			c.Sleep(10 * time.Millisecond)
			if runs := c.executionsOf(r.ID); i == 7 && len(runs) == 1 {
				c.backend(runs[0].Backend).Kill()
			}
			asked.Wait()
			is.NoErr(err)
			runs := len(c.executionsOf(r.ID))
			is.True(runs <= 1)
			if got.Status == 503 || got.Status == 429 {
				is.Equal(runs, 0) // a promise
			}
			if got.Status == 200 {
				is.Equal(runs, 1)
			}
		}
	})
}

func TestDrainingProxyAnswersAllRequests(t *testing.T) {
	runWithCluster(t, func(t *testing.T, c *Cluster) {
		is := is.New(t)
		long, waits := chatRequest("m0"), chatRequest("m2")
		long.Tokens = "1000,100" // a second
		var streamed, refused Response
		var asked sync.WaitGroup
		asked.Go(func() {
			var err error
			streamed, err = c.Send(c.Edges[0], long)
			is.NoErr(err)
		})
		c.Sleep(200 * time.Millisecond)
		asked.Go(func() {
			var err error
			refused, err = c.Send(c.Edges[0], waits)
			is.NoErr(err)
		})
		c.Sleep(50 * time.Millisecond)
		c.Edges[0].Terminate()
		asked.Wait()
		checkStream(t, long, streamed, 50)
		is.True(refused.Status == 200 || refused.Status == 503) // an answer, whichever
		if refused.Status == 503 {
			is.Equal(len(c.executionsOf(waits.ID)), 0)
		}
	})
}

// A proxy whose control is gone serves on by what it has.
func TestProxiesServeWithoutControl(t *testing.T) {
	runWithCluster(t, func(t *testing.T, c *Cluster) {
		is := is.New(t)
		for _, m := range c.Controls {
			m.Kill()
		}
		c.Sleep(20 * time.Second)
		for _, edge := range c.Edges {
			got, err := c.Send(edge, slipRequest())
			is.NoErr(err)
			is.Equal(got.Status, 200)
		}
		for _, m := range c.Controls {
			m.Start()
		}
		c.Sleep(5 * time.Second)
		status, _, err := c.ReplaceConfiguration(documentWithSlipsAt("/back/"), 5*time.Second)
		is.NoErr(err)
		is.Equal(status, 200)
	})
}
