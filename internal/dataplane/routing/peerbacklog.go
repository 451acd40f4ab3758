package routing

import (
	"time"

	"marlreel/internal/balancer"
	"marlreel/internal/dataplane/backlog"
)

// peerBacklog is the work, according to the last report, that other proxies have sent to the backends of a service and
// that the backends have not started to answer.
type peerBacklog struct {
	keys       map[balancer.BackendID]uint32
	work       backlog.Work
	receivedAt time.Duration
}

func newPeerBacklog() peerBacklog { return peerBacklog{keys: map[balancer.BackendID]uint32{}} }

// record replaces the last report.
func (p *peerBacklog) record(now time.Duration, work backlog.Work) {
	p.work, p.receivedAt = work, now
}

// workMS returns the work, in ms, ahead of a request that is sent to a backend now. It is 0 if the last report has expired.
func (p *peerBacklog) workMS(now time.Duration, to balancer.BackendID) float64 {
	if now-p.receivedAt > backlog.ReportTTL {
		return 0
	}
	return float64(p.work[p.keys[to]])
}
