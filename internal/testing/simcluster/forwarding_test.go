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

// headAndOthers are the machines of the chain's head and of two others.
func (c *Cluster) headAndOthers(t *testing.T) (head *Machine, others []*Machine) {
	t.Helper()
	status := c.fetchStatus(c.Controls[0])
	if status == nil || status.Head == "" {
		t.Fatal("no head is known")
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

// An order that a cut holds up on its way to the head is not taken once its caller was answered: the operator has
// turned to another process, and gone on.
func TestDelayedRequestIsNotCommittedLate(t *testing.T) {
	runWithControlPlane(t, 3, func(t *testing.T, c *Cluster) {
		is := is.New(t)
		head, others := c.headAndOthers(t)
		by := others[0]
		status, _, err := c.callControl(by, http.MethodPost, "/marlreel/evacuation/west/begin", "", "") // a connection is made
		is.NoErr(err)
		is.Equal(status, 200)
		c.Net.SetPartitioned(by.IP, head.IP, true)
		status, _, err = c.callControl(by, http.MethodPost, evacuationPath("begin"), "", "")
		is.True(err != nil || status >= 500) // no clear answer
		for _, verb := range []string{"begin", "terminate"} {
			status, _, err = c.CallOperatorAPI(http.MethodPost, evacuationPath(verb), "", "", 4*time.Second)
			is.NoErr(err)
			is.Equal(status, 200)
		}
		c.Net.SetPartitioned(by.IP, head.IP, false)
		c.Sleep(2 * time.Second)
		for _, m := range c.Controls {
			is.True(!slices.Contains(c.fetchStatus(m).Evacuated, "north")) // it was taken back, and stays so
		}
	})
}

// An order that reaches a control process after its caller has given up is not taken: a cut held it up between the
// two, and the operator went on elsewhere.
func TestRequestOfAGoneCallerIsNotCommitted(t *testing.T) {
	for place := range 3 {
		t.Run(fmt.Sprint(place), func(t *testing.T) {
			runWithControlPlane(t, 3, func(t *testing.T, c *Cluster) {
				is := is.New(t)
				m := c.Controls[place]
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
					is.True(!slices.Contains(c.fetchStatus(m).Evacuated, "north"))
				}
			})
		})
	}
}

// A question for the head is passed on once: two processes that take each other for the head don't play it back
// and forth.
func TestLeaseRequestIsForwardedOnce(t *testing.T) {
	runWithControlPlane(t, 3, func(t *testing.T, c *Cluster) {
		is := is.New(t)
		head, others := c.headAndOthers(t)
		client := transport.NewClient(c.outside.Dial)
		ask := func(m *Machine, forwarded bool) result.Code {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			reply, err := api.NewControlProtobufClient("http://"+m.peerAddress(), client).Lease(ctx, &api.LeaseRequest{Holder: "x/1", Forwarded: forwarded})
			is.NoErr(err)
			return result.Code(reply.Code)
		}
		is.Equal(ask(others[0], false), result.Committed)
		is.Equal(ask(head, true), result.Committed)
		is.Equal(ask(others[0], true), result.Unavailable)
	})
}

// A control process that gets SIGTERM is out of the chain before it ends: hardly a change waits for that.
func TestControlProcessLeavesTheChainBeforeItExits(t *testing.T) {
	for place := range 3 {
		t.Run(fmt.Sprint(place), func(t *testing.T) {
			runWithControlPlane(t, 3, func(t *testing.T, c *Cluster) {
				is := is.New(t)
				var ended sync.WaitGroup
				m := c.Controls[place]
				ended.Go(m.Terminate)
				longest := time.Duration(0)
				for range 40 {
					longest = max(longest, c.modifyConfiguration(t, 4*time.Second))
					c.Sleep(20 * time.Millisecond)
				}
				ended.Wait()
				t.Logf("the longest change took %v", longest)
				is.True(longest < 300*time.Millisecond)
				others := slices.DeleteFunc(slices.Clone(c.Controls), func(o *Machine) bool { return o == m })
				is.Equal(len(c.fetchStatus(others[0]).Chain), 2)
				m.Start()
				c.Sleep(2 * time.Second)
				is.Equal(len(c.fetchStatus(m).Chain), 3)
			})
		})
	}
}
