package balancer_test

import (
	"fmt"
	"time"

	"marlreel/internal/balancer"
)

// printer is a Host that prints actions instead of carrying them out.
type printer struct{}

func (printer) Send(id balancer.RequestID, to balancer.BackendID, until, _ time.Duration) {
	fmt.Printf("send request %d to backend %d, until %v\n", id, to, until)
}

func (printer) Reject(id balancer.RequestID, after time.Duration) {
	fmt.Printf("reject request %d, retry after %v\n", id, after)
}
func (printer) Fail(id balancer.RequestID) { fmt.Printf("fail request %d\n", id) }
func (printer) Cancel(id balancer.RequestID, n int) {
	fmt.Printf("cancel attempt %d of %d\n", n, id)
}
func (printer) CheckHealth(b balancer.BackendID)    {}
func (printer) Release(b balancer.BackendID)        {}
func (printer) Watch(on bool)                       {}
func (printer) Fetch()                              {}
func (printer) SendToPeer(peer uint32, body []byte) {}
func (printer) StartTimer(d time.Duration, token uint64) {
	// A real proxy calls OnTimer with the token when the timer expires.
}
func (printer) Log(line string) { fmt.Println(line) }

// A proxy reports events to its Balancer, and the Host carries out the Balancer's decisions.
func Example() {
	cfg := balancer.Config{
		Instances: 1,
		Tick:      time.Millisecond,
		Classes: []balancer.Class{{
			Name: "page", LatencyTarget: 300 * time.Millisecond, ClientTimeout: time.Second,
			Effect: balancer.Safe, Value: 1,
		}},
		Goal: balancer.Goal{Total: 1},
		Caps: balancer.Caps{HealthChecks: true, ConnectTimeout: 100 * time.Millisecond, MaxAttempts: 3},
	}
	b, err := balancer.New(cfg, 1, printer{})
	if err != nil {
		fmt.Println(err)
		return
	}
	b.Start(time.Second)
	b.OnMembership(time.Second, balancer.Membership{Kind: balancer.MembershipFull, Backends: []balancer.Backend{
		{ID: 7, State: balancer.Ready},
		{ID: 8, State: balancer.Draining},
	}})
	b.OnRequest(time.Second, balancer.Request{ID: 1, Deadline: 2 * time.Second})
	now := time.Second + 20*time.Millisecond
	b.OnAttemptEnd(now, balancer.Outcome{ID: 1, Backend: 7, Result: balancer.OK, Took: 20 * time.Millisecond, Final: true})
	// Output:
	// send request 1 to backend 7, until 1.299s
}
