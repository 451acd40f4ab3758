package balancer

import (
	"fmt"
	"testing"
	"time"
)

// benchmarkHost is a Host that only records the last send.
type benchmarkHost struct {
	recorder
	to BackendID
}

func (h *benchmarkHost) Send(_ RequestID, to BackendID, _, _ time.Duration) { h.to = to }
func (h *benchmarkHost) Reject(RequestID, time.Duration)                    { h.to = 0 }
func (h *benchmarkHost) Fail(RequestID)                                     { h.to = 0 }
func (h *benchmarkHost) CheckHealth(BackendID)                              {}
func (h *benchmarkHost) StartTimer(time.Duration, uint64)                   {}

// BenchmarkRequest measures a request from arrival through selection and send to its answer, with a sweep every
// hundred requests. In the keyed cases, backends are chosen by key affinity.
func BenchmarkRequest(b *testing.B) {
	for _, backends := range []int{10, 50} {
		for _, keyed := range []bool{false, true} {
			b.Run(fmt.Sprintf("backends=%d/keyed=%v", backends, keyed), func(b *testing.B) {
				cfg, h := testConfig(), &benchmarkHost{}
				cfg.KeyAffinity = keyed
				m, err := New(cfg, 1, h)
				if err != nil {
					b.Fatal(err)
				}
				m.Start(second)
				m.OnMembership(second, Membership{Kind: MembershipFull, Version: 1, Backends: list(backends)})
				b.ReportAllocs()
				now, answered := second, 0
				for i := range b.N {
					now += milli
					h.to = 0
					m.OnRequest(now, Request{ID: RequestID(i), Class: i % 4, Key: uint64(i % 100), Deadline: now + 3*second})
					if h.to != 0 {
						m.OnAttemptEnd(now+100*time.Microsecond, Outcome{ID: RequestID(i), Backend: h.to, Result: OK, Final: true})
						answered++
					}
					if i%100 == 0 {
						m.OnTimer(now, timerSweep<<56)
					}
				}
				if answered < b.N/2 {
					b.Fatalf("%d of %d answered", answered, b.N)
				}
			})
		}
	}
}
