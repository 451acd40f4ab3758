package simcluster

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"marlreel/internal/api"
	"marlreel/internal/controlplane/result"
	"marlreel/internal/process/transport"
)

// headAndOthers returns the machine of the chain's head and the other control machines.
func (c *Cluster) headAndOthers(t *testing.T) (head *Machine, others []*Machine) {
	t.Helper()
	status := c.status(t, c.Controls[0])
	if status.Head == "" {
		t.Fatal("the status names no head of the chain")
	}
	for _, m := range c.Controls {
		if m.peerAddress() == status.Head {
			head = m
			continue
		}
		others = append(others, m)
	}
	return head, others
}

func evacuationPath(verb string) string { return "/marlreel/evacuation/north/" + verb }

// A request that a partition delays on its way to the head is not committed after its caller got a response: by then the
// operator may have retried at another process and made further changes.
func TestDelayedRequestIsNotCommittedLate(t *testing.T) {
	runWithControlPlane(t, func(t *testing.T, c *Cluster) {
		is := is.New(t)
		head, others := c.headAndOthers(t)
		forwarder := others[0]
		status, _, err := c.callControl(forwarder, http.MethodPost, "/marlreel/evacuation/west/begin", "", "") // a connection is made
		is.NoErr(err)
		is.Equal(status, 200)
		c.Net.SetPartitioned(forwarder.IP, head.IP, true)
		status, _, err = c.callControl(forwarder, http.MethodPost, evacuationPath("begin"), "", "")
		is.True(err != nil || status >= 500) // the outcome is unknown
		for _, verb := range []string{"begin", "terminate"} {
			status, _, err = c.CallOperatorAPI(http.MethodPost, evacuationPath(verb), "", "", 4*time.Second)
			is.NoErr(err)
			is.Equal(status, 200)
		}
		c.Net.SetPartitioned(forwarder.IP, head.IP, false)
		c.Sleep(2 * time.Second)
		for _, m := range c.Controls {
			is.True(!slices.Contains(c.status(t, m).Evacuated, "north")) // the evacuation stays terminated
		}
	})
}

// A request that a partition delays until its caller has timed out is not committed: by then the operator may have made
// further changes at another process.
func TestRequestOfAGoneCallerIsNotCommitted(t *testing.T) {
	for number := range 3 {
		t.Run(fmt.Sprint(number), func(t *testing.T) {
			runWithControlPlane(t, func(t *testing.T, c *Cluster) {
				is := is.New(t)
				m := c.Controls[number]
				status, _, err := c.callControl(m, http.MethodPost, "/marlreel/evacuation/west/begin", "", "") // a connection is made
				is.NoErr(err)
				is.Equal(status, 200)
				c.Net.SetPartitioned(outsideIP, m.IP, true)
				_, _, err = c.callControl(m, http.MethodPost, evacuationPath("begin"), "", "")
				is.True(err != nil)
				for _, verb := range []string{"begin", "terminate"} {
					for _, other := range c.Controls {
						if other == m {
							continue
						}
						status, _, err = c.callControl(other, http.MethodPost, evacuationPath(verb), "", "")
						is.NoErr(err)
						is.Equal(status, 200)
					}
				}
				c.Net.SetPartitioned(outsideIP, m.IP, false)
				c.Sleep(2 * time.Second)
				for _, m := range c.Controls {
					is.True(!slices.Contains(c.status(t, m).Evacuated, "north"))
				}
			})
		})
	}
}

// A request for the head is forwarded at most once, so two processes that take each other for the head don't forward it
// back and forth.
func TestLeaseRequestIsForwardedOnce(t *testing.T) {
	runWithControlPlane(t, func(t *testing.T, c *Cluster) {
		is := is.New(t)
		head, others := c.headAndOthers(t)
		client := transport.NewClient(c.outside.Dial)
		requestLease := func(m *Machine, forwarded bool) result.Code {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			reply, err := api.NewControlProtobufClient("http://"+m.peerAddress(), client).Lease(ctx, &api.LeaseRequest{Holder: "x/1", Forwarded: forwarded})
			is.NoErr(err)
			return result.Code(reply.Code)
		}
		is.Equal(requestLease(others[0], false), result.Committed)
		is.Equal(requestLease(head, true), result.Committed)
		is.Equal(requestLease(others[0], true), result.Unavailable)
	})
}

// A control process that receives SIGTERM leaves the chain before it exits, so changes are delayed by less than 300 ms.
func TestControlProcessLeavesTheChainBeforeItExits(t *testing.T) {
	for number := range 3 {
		t.Run(fmt.Sprint(number), func(t *testing.T) {
			runWithControlPlane(t, func(t *testing.T, c *Cluster) {
				is := is.New(t)
				var ended sync.WaitGroup
				m := c.Controls[number]
				ended.Go(m.Terminate)
				maxChange := time.Duration(0)
				for range 40 {
					maxChange = max(maxChange, c.modifyConfiguration(t, 4*time.Second))
					c.Sleep(20 * time.Millisecond)
				}
				ended.Wait()
				t.Logf("the longest change took %v", maxChange)
				is.True(maxChange < 300*time.Millisecond)
				others := slices.DeleteFunc(slices.Clone(c.Controls), func(o *Machine) bool { return o == m })
				is.Equal(len(c.status(t, others[0]).Chain), 2)
				m.Start()
				c.Sleep(2 * time.Second)
				is.Equal(len(c.status(t, m).Chain), 3)
			})
		})
	}
}
