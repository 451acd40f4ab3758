package backlog

import (
	"hash/fnv"
	"io"
	"time"
)

const (
	// ReportTTL is how long a report counts: some report intervals.
	ReportTTL = 1500 * time.Millisecond
	// maxReports bounds the reports that are kept, and maxBackends the backends of one of them.
	maxReports  = 8192
	maxBackends = 4096
)

// Key stands for a backend: the FNV-1a hash of its id. Two backends with one key count as one.
func Key(id string) uint32 {
	hash := fnv.New32a()
	_, _ = io.WriteString(hash, id) // a hash never fails
	return hash.Sum32()
}

// Work is the pending work of backends by their keys, in ms, as estimated from the requests.
type Work map[uint32]uint32

// Reporter is whose work a report counts.
type Reporter struct {
	// Node is the node whose proxy has sent the work; "" is all nodes of other zones together.
	Node string
	Zone string
}

// OtherZones is the reporter of the work of all other zones.
var OtherZones = Reporter{}

type reportKey struct {
	service  string
	reporter Reporter
}

type report struct {
	work       Work
	receivedAt time.Duration
}

// Table is the newest report of each reporter. Not safe for concurrent use.
type Table struct {
	reports map[reportKey]report
}

// NewTable makes an empty table.
func NewTable() *Table { return &Table{reports: map[reportKey]report{}} }

// RecordReport records a report on a service: all pending work of a reporter, in place of its previous report. A
// report is dropped that names more than 4,096 backends, or that is one more than the 8,192 that the table keeps.
func (t *Table) RecordReport(now time.Duration, service string, from Reporter, work Work) {
	key := reportKey{service, from}
	if _, known := t.reports[key]; !known && !t.hasCapacity(now) {
		return
	}
	if len(work) > maxBackends {
		return
	}
	t.reports[key] = report{work, now}
}

// hasCapacity tells whether one more report can be kept, where need be after those that have expired are removed.
func (t *Table) hasCapacity(now time.Duration) bool {
	if len(t.reports) >= maxReports {
		t.expireReports(now)
	}
	return len(t.reports) < maxReports
}

func (t *Table) expireReports(now time.Duration) {
	for key, r := range t.reports {
		if now-r.receivedAt > ReportTTL {
			delete(t.reports, key)
		}
	}
}

// Sum adds up the work that the reporters that count have sent to the backends of a service.
func (t *Table) Sum(now time.Duration, service string, counts func(Reporter) bool) Work {
	t.expireReports(now)
	sum := Work{}
	for key, r := range t.reports {
		if key.service != service || !counts(key.reporter) {
			continue
		}
		for backend, ms := range r.work {
			sum[backend] += ms
		}
	}
	return sum
}
