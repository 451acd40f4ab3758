package backlog

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestNewestReportOfEachReporterCounts(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	a, b := Reporter{"a", "east"}, Reporter{"b", "east"}
	table.RecordReport(0, "llm", a, Work{1: 100, 2: 50})
	table.RecordReport(0, "llm", b, Work{1: 10})
	table.RecordReport(0, "other", b, Work{1: 1000})
	table.RecordReport(time.Second, "llm", a, Work{2: 70})
	all := func(Reporter) bool { return true }
	is.Equal(table.Sum(time.Second, "llm", all), Work{1: 10, 2: 70})
	is.Equal(table.Sum(time.Second, "llm", func(s Reporter) bool { return s != b }), Work{2: 70})
	// Expired reports no longer count.
	is.Equal(table.Sum(ReportTTL+time.Millisecond, "llm", all), Work{2: 70})
	is.Equal(table.Sum(time.Second+ReportTTL+time.Millisecond, "llm", all), Work{})
	is.Equal(len(table.reports), 0)
}

func TestTableIsBounded(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	for i := range 2 * maxReports {
		table.RecordReport(0, "llm", Reporter{Node: fmt.Sprint(i)}, Work{1: 1})
	}
	is.Equal(len(table.reports), maxReports)
	table.RecordReport(ReportTTL+time.Second, "llm", Reporter{Node: "new"}, Work{1: 1}) // the expired ones are removed
	is.Equal(len(table.reports), 1)
	large := Work{}
	for i := range uint32(maxBackends + 1) {
		large[i] = 1
	}
	table.RecordReport(ReportTTL+time.Second, "llm", Reporter{Node: "large"}, large)
	is.Equal(len(table.reports), 1)
}

func TestMessageRoundTrip(t *testing.T) {
	is := is.New(t)
	work := Work{Key("backend-1"): 120, Key("backend-2"): 1}
	message := ToProto("llm", work)
	is.Equal(FromProto(message), work)
	message.WorkMs = message.WorkMs[:1] // truncated: the backend without a value is left out
	is.Equal(len(FromProto(message)), 1)
	is.Equal(FromProto(ToProto("llm", nil)), Work{})
}
