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
	// historyControls and historyEdges are the numbers of machines in a random history.
	historyControls, historyEdges = 3, 4
	// historyModelBackends is the number of backends with models: fewer than there are models, so that models compete.
	historyModelBackends = 2
	// historyFaults is the number of faults in a history.
	historyFaults = 6
	// maxFaultTime limits how long a fault lasts, and maxPauseTime the fault-free time that follows.
	maxFaultTime = 2500 * time.Millisecond
	maxPauseTime = 1500 * time.Millisecond
	// maxRecovery is the time after the last fault within which everything must work again.
	maxRecovery = 10 * time.Second
	// diskRecovery is the time that a machine gets to catch up before the next disk may be lost.
	diskRecovery = 4 * time.Second
)

// startHistoryCluster starts the cluster of a history, and returns once it is ready.
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
			sent := 0
			r.repeat(r.over, 100*time.Millisecond, func() {
				sent++
				r.sendOnce(edge, sent)
			})
		}
	}
	for _, edge := range r.cluster.Edges {
		sent := 0
		r.repeat(r.over, 250*time.Millisecond, func() {
			sent++
			r.stream(edge, fmt.Sprintf("m%d", sent/8%3)) // the demand for models keeps changing
		})
	}
}

// runClusterHistory injects faults during traffic and configuration changes, and returns all violations.
func runClusterHistory(t *testing.T, seed int, faults []clusterFault) []string {
	t.Helper()
	c := startHistoryCluster(t)
	c.setStreamFault(usualStreamFault(seed))
	c.setEarlyStart(usualEarlyStart(seed))
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

// numberFromEnvironment returns the number in an environment variable, or fallback if it is unset or empty.
func numberFromEnvironment(t *testing.T, name string, fallback int) int {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return fallback
	}
	number, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return number
}

// maxPrintedViolations limits how many violations of a history are printed.
const maxPrintedViolations = 12

// Whole clusters tolerate random faults during traffic and configuration changes.
func TestDrawnClusterHistories(t *testing.T) {
	histories, first := numberFromEnvironment(t, "CLUSTER_HISTORIES", 8), numberFromEnvironment(t, "CLUSTER_FIRST", 0)
	for number := first; number < first+histories; number++ {
		t.Run(strconv.Itoa(number), func(t *testing.T) {
			t.Parallel()
			faults := drawClusterHistory(number)
			synctest.Test(t, func(t *testing.T) {
				violations := runClusterHistory(t, number, faults)
				if len(violations) == 0 {
					return
				}
				var injected strings.Builder
				for _, f := range faults {
					fmt.Fprintln(&injected, f)
				}
				printed := violations[:min(len(violations), maxPrintedViolations)]
				t.Errorf("%s\ninjected faults:\n%s", strings.Join(printed, "\n"), injected.String())
			})
		})
	}
}
