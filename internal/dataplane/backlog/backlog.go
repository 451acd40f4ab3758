package backlog

import (
	"hash/fnv"
	"io"
	"time"
)

const (
	// ReportTTL is how long a report is valid. It spans several report intervals.
	ReportTTL = 1500 * time.Millisecond
	// maxReports bounds the reports in a table, and maxBackends the backends in one report.
	maxReports  = 8192
	maxBackends = 4096
)

// Key returns the key of a backend, the FNV-1a hash of its id. Backends with the same key are counted as one.
func Key(id string) uint32 {
	hash := fnv.New32a()
	_, _ = io.WriteString(hash, id) // a hash never returns an error
	return hash.Sum32()
}

// Work is the pending work of backends by key, in ms, as estimated from the requests.
type Work map[uint32]uint32

// Reporter identifies the sender of the work in a report.
type Reporter struct {
	// Node is the node whose proxy has sent the work; "" stands for all nodes of other zones together.
	Node string
	Zone string
}

// OtherZones is the reporter for the work from all other zones.
var OtherZones = Reporter{}

type reportKey struct {
	service  string
	reporter Reporter
}

type report struct {
	work       Work
	receivedAt time.Duration
}

// Table holds the newest report of each reporter for each service. Not safe for concurrent use.
type Table struct {
	reports map[reportKey]report
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{reports: map[reportKey]report{}} }

// RecordReport records a report on a service. It contains all pending work of a reporter and replaces the previous
// report. Reports with more than 4,096 backends are dropped, and so are those of new reporters while the table holds
// 8,192 reports.
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

// hasCapacity reports whether the table has room for another report. If the table is full, it first removes the expired
// ones.
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

// Sum returns the total work sent to the backends of a service by the reporters for which counts returns true.
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
