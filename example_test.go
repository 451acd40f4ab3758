package cherrywinch_test

import (
	"fmt"
	"time"

	"cherrywinch"
)

// printer is a Host that prints what a proxy would do.
type printer struct{}

func (printer) Send(id cherrywinch.RequestID, to cherrywinch.BackendID, until time.Duration) {
	fmt.Printf("send request %d to backend %d, until %v\n", id, to, until)
}
func (printer) Refuse(id cherrywinch.RequestID, after time.Duration) {
	fmt.Printf("refuse request %d, come again after %v\n", id, after)
}
func (printer) Fail(id cherrywinch.RequestID) { fmt.Printf("fail request %d\n", id) }
func (printer) Cancel(id cherrywinch.RequestID, n int) {
	fmt.Printf("cancel attempt %d of %d\n", n, id)
}
func (printer) Probe(b cherrywinch.BackendID)   {}
func (printer) Release(b cherrywinch.BackendID) {}
func (printer) Watch(on bool)                   {}
func (printer) Fetch()                          {}
func (printer) Tell(peer uint32, body []byte)   {}
func (printer) After(d time.Duration, token uint64) {
	// A real proxy calls Timer with the token when the time has come.
}
func (printer) Log(line string) { fmt.Println(line) }

// A proxy tells its Balancer what happened; the Host carries out what it decides.
func Example() {
	cfg := cherrywinch.Config{
		Instances: 1,
		Tick:      time.Millisecond,
		Classes: []cherrywinch.Class{{Name: "page", Aim: 300 * time.Millisecond, GiveUp: time.Second,
			Effect: cherrywinch.Safe, Value: 1}},
		Goal: cherrywinch.Goal{Whole: 1},
		Caps: cherrywinch.Caps{Probes: true, ConnectTimeout: 100 * time.Millisecond, MaxAttempts: 3},
	}
	b, err := cherrywinch.New(cfg, 1, printer{})
	if err != nil {
		fmt.Println(err)
		return
	}
	b.Start(time.Second)
	b.Membership(time.Second, cherrywinch.Membership{Kind: cherrywinch.ListFull, Backends: []cherrywinch.Backend{
		{ID: 7, State: cherrywinch.Ready},
		{ID: 8, State: cherrywinch.Draining},
	}})
	b.Request(time.Second, cherrywinch.Request{ID: 1, Deadline: 2 * time.Second})
	now := time.Second + 20*time.Millisecond
	b.Outcome(now, cherrywinch.Outcome{ID: 1, Backend: 7, Result: cherrywinch.OK, Took: 20 * time.Millisecond, Final: true})
	// Output:
	// send request 1 to backend 7, until 1.299s
}
