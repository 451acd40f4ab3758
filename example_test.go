package marlreel_test

import (
	"fmt"
	"time"

	"marlreel"
)

// printer is a Host that prints what a proxy would do.
type printer struct{}

func (printer) Send(id marlreel.RequestID, to marlreel.BackendID, until, _ time.Duration) {
	fmt.Printf("send request %d to backend %d, until %v\n", id, to, until)
}

func (printer) Refuse(id marlreel.RequestID, after time.Duration) {
	fmt.Printf("refuse request %d, come again after %v\n", id, after)
}
func (printer) Fail(id marlreel.RequestID) { fmt.Printf("fail request %d\n", id) }
func (printer) Cancel(id marlreel.RequestID, n int) {
	fmt.Printf("cancel attempt %d of %d\n", n, id)
}
func (printer) Probe(b marlreel.BackendID)    {}
func (printer) Release(b marlreel.BackendID)  {}
func (printer) Watch(on bool)                 {}
func (printer) Fetch()                        {}
func (printer) Tell(peer uint32, body []byte) {}
func (printer) After(d time.Duration, token uint64) {
	// A real proxy calls Timer with the token when the time has come.
}
func (printer) Log(line string) { fmt.Println(line) }

// A proxy tells its Balancer what happened; the Host carries out what it decides.
func Example() {
	cfg := marlreel.Config{
		Instances: 1,
		Tick:      time.Millisecond,
		Classes: []marlreel.Class{{
			Name: "page", Aim: 300 * time.Millisecond, GiveUp: time.Second,
			Effect: marlreel.Safe, Value: 1,
		}},
		Goal: marlreel.Goal{Whole: 1},
		Caps: marlreel.Caps{Probes: true, ConnectTimeout: 100 * time.Millisecond, MaxAttempts: 3},
	}
	b, err := marlreel.New(cfg, 1, printer{})
	if err != nil {
		fmt.Println(err)
		return
	}
	b.Start(time.Second)
	b.Membership(time.Second, marlreel.Membership{Kind: marlreel.ListFull, Backends: []marlreel.Backend{
		{ID: 7, State: marlreel.Ready},
		{ID: 8, State: marlreel.Draining},
	}})
	b.Request(time.Second, marlreel.Request{ID: 1, Deadline: 2 * time.Second})
	now := time.Second + 20*time.Millisecond
	b.Outcome(now, marlreel.Outcome{ID: 1, Backend: 7, Result: marlreel.OK, Took: 20 * time.Millisecond, Final: true})
	// Output:
	// send request 1 to backend 7, until 1.299s
}
