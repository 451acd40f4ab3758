package gateway

import (
	"time"

	"marlreel/internal/api"
	"marlreel/internal/dataplane/backlog"
	"marlreel/internal/dataplane/engine"
)

const (
	// minReportInterval and maxReportInterval bound the time between two reports of demand and backlogs. Peers don't
	// know of work sent since the last report.
	minReportInterval = 125 * time.Millisecond
	maxReportInterval = 600 * time.Millisecond
	// reportIntervalPerProxy times the number of proxies in the zone is the time between two reports of a proxy: one
	// relay takes the reports of all of them.
	reportIntervalPerProxy = 7 * time.Millisecond
)

// pendingWork returns the work that this proxy has sent to the service's backends and that they have not begun to
// answer; nil after the service has stopped.
func (s *service) pendingWork() backlog.Work {
	counted := make(chan backlog.Work, 1)
	s.engine.Post(func() {
		work := backlog.Work{}
		s.engine.EachPendingAttempt(func(a *engine.Attempt) {
			work[backlog.Key(a.Backend.Name)] += uint32(max(1, a.Call.Cost.Milliseconds()))
		})
		counted <- work
	})
	select {
	case work := <-counted:
		return work
	case <-s.engine.Done():
		return nil
	}
}

// recordPeerBacklog records the work that peers have sent to the service's backends.
func (s *service) recordPeerBacklog(work backlog.Work) {
	s.engine.Post(func() { s.advisor.RecordPeerBacklog(s.engine.Now(), work) })
}

// backlogs returns the backlogs of all services whose backends load models.
func (g *Gateway) backlogs() []*api.Backlog {
	var all []*api.Backlog
	for name, s := range g.table.Load().services {
		if s.servesModels {
			all = append(all, backlog.ToProto(name, s.pendingWork()))
		}
	}
	return all
}

// recordPeerBacklogs records the peers' backlogs in the reply to a demand report.
func (g *Gateway) recordPeerBacklogs(reply *api.DemandReply) {
	services := g.table.Load().services
	for _, b := range reply.OtherBacklogs {
		if s := services[b.Service]; s != nil {
			s.recordPeerBacklog(backlog.FromProto(b))
		}
	}
}

// reportInterval returns the time between two reports.
func (g *Gateway) reportInterval() time.Duration {
	sameZone := 0
	for _, node := range g.state.Nodes() {
		if node.Zone == g.identity.zone {
			sameZone++
		}
	}
	return min(max(minReportInterval, time.Duration(sameZone)*reportIntervalPerProxy), maxReportInterval)
}
