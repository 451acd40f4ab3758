package agent

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"marlreel/internal/api"
)

// recordedBatch is one call of a queue's forward function.
type recordedBatch struct {
	address string
	reports int
	after   time.Duration // since the first report was added
}

// The first report is sent at once, and those that come within the interval together.
func TestReportsAreForwardedInBatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		began := time.Now()
		var batches []recordedBatch
		queue := newReportQueue(func(_ context.Context, address string, reports []*api.DemandReport) {
			batches = append(batches, recordedBatch{address, len(reports), time.Since(began)})
		})
		queue.add("a", &api.DemandReport{})
		synctest.Wait()
		for range 3 {
			queue.add("a", &api.DemandReport{})
		}
		time.Sleep(2 * forwardInterval)
		queue.stop()
		is.Equal(batches, []recordedBatch{{"a", 1, 0}, {"a", 3, forwardInterval}})
	})
}

// A full queue drops the oldest reports.
func TestReportQueueIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var sent []string
		queue := newReportQueue(func(_ context.Context, _ string, reports []*api.DemandReport) {
			sent = nil
			for _, report := range reports {
				sent = append(sent, report.Node)
			}
		})
		queue.add("a", &api.DemandReport{Node: "first"})
		synctest.Wait()
		queue.add("a", &api.DemandReport{Node: "dropped"})
		for range maxPendingReports {
			queue.add("a", &api.DemandReport{Node: "kept"})
		}
		time.Sleep(2 * forwardInterval)
		queue.stop()
		is.Equal(len(sent), maxPendingReports)
		is.Equal(sent[0], "kept")
	})
}

// stop cancels a call in flight, waits for its sender, and makes the queue drop later reports.
func TestReportQueueStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		calls, ended := 0, false
		queue := newReportQueue(func(ctx context.Context, _ string, _ []*api.DemandReport) {
			calls++
			<-ctx.Done()
			ended = true
		})
		queue.add("a", &api.DemandReport{})
		synctest.Wait()
		queue.stop()
		is.True(ended)
		queue.add("a", &api.DemandReport{})
		queue.add("b", &api.DemandReport{})
		synctest.Wait()
		is.Equal(calls, 1)
	})
}
