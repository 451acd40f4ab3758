package simcluster

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"marlreel/internal/testing/simnet"
)

const (
	// historyControls and historyEdges are how many machines a drawn history has.
	historyControls, historyEdges = 3, 4
	// historyModelBackends is how many backends with models one has: fewer than there are models.
	historyModelBackends = 2
	// historyFaults is how many faults one has.
	historyFaults = 6
	// maxFaultTime and maxPauseTime bound how long a fault lasts, and the time without a fault that follows.
	maxFaultTime = 2500 * time.Millisecond
	maxPauseTime = 1500 * time.Millisecond
	// maxRecovery is within what time of the last fault everything has to work.
	maxRecovery = 10 * time.Second
	// diskRecovery is how long a machine may catch up before the next disk may be lost.
	diskRecovery = 4 * time.Second
)

// startHistoryCluster starts the cluster of a history, and returns once it serves.
func startHistoryCluster(t *testing.T) *Cluster {
	t.Helper()
	c := New(Config{
		Controls: historyControls, Edges: historyEdges, Zones: zones, Log: logr.Discard(),
		Net: simnet.Config{Delay: time.Millisecond, Jitter: time.Millisecond, Seed: 1},
	})
	t.Cleanup(c.Stop)
	for i, zone := range zones {
		if i < historyModelBackends {
			c.AddBackend(busyModelBackend(fmt.Sprintf("i-%d", i), zone, "m0"))
		}
		c.AddBackend(busySlipBackend(fmt.Sprintf("s-%d", i), zone))
	}
	c.configureFirst(t, historyDocument("/mark/"))
	c.Sleep(3 * time.Second)
	return c
}

// start starts the clients and operators.
func (r *historyRun) start() {
	for operator := range 2 {
		r.repeat(r.changesOver, 400*time.Millisecond, func() { r.write(operator, "") })
	}
	r.repeat(r.over, 300*time.Millisecond, r.read)
	for _, edge := range r.cluster.Edges {
		for range 3 {
			r.repeat(r.over, 100*time.Millisecond, func() { r.sendOnce(edge) })
		}
	}
	for _, edge := range r.cluster.Edges {
		sent := 0
		r.repeat(r.over, 250*time.Millisecond, func() {
			sent++
			r.stream(edge, fmt.Sprintf("m%d", sent/8%3)) // the demand for models changes all the time
		})
	}
}

// runClusterHistory injects faults under traffic and changes, and returns all violations.
func runClusterHistory(t *testing.T, faults []clusterFault) []string {
	t.Helper()
	c := startHistoryCluster(t)
	r := &historyRun{cluster: c, over: make(chan struct{}), changesOver: make(chan struct{})}
	r.register.begin(historyDocument("/mark/")(1))
	r.start()
	for _, f := range faults {
		clusterFaults[f.kind](c, f)
		c.Sleep(f.pause)
	}
	close(r.changesOver)
	r.checkRecovery()
	close(r.over)
	r.running.Wait()
	r.checkRequests()
	r.checkOrders()
	r.checkRegister()
	r.checkActivity(t)
	return r.violations
}

// numberFromEnvironment returns a variable's number, or a default.
func numberFromEnvironment(t *testing.T, name string, otherwise int) int {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return otherwise
	}
	number, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return number
}

// maxPrintedViolations bounds the violations that are printed of a history.
const maxPrintedViolations = 12

// Whole clusters survive drawn faults, under traffic and changes.
func TestDrawnClusterHistories(t *testing.T) {
	histories, first := numberFromEnvironment(t, "CLUSTER_HISTORIES", 8), numberFromEnvironment(t, "CLUSTER_FIRST", 0)
	for number := first; number < first+histories; number++ {
		t.Run(strconv.Itoa(number), func(t *testing.T) {
			t.Parallel()
			faults := drawClusterHistory(number)
			synctest.Test(t, func(t *testing.T) {
				violations := runClusterHistory(t, faults)
				if len(violations) == 0 {
					return
				}
				var story strings.Builder
				for _, f := range faults {
					fmt.Fprintln(&story, f)
				}
				printed := violations[:min(len(violations), maxPrintedViolations)]
				t.Errorf("%s\nthe history:\n%s", strings.Join(printed, "\n"), story.String())
			})
		})
	}
}
