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
	// maxFaultTime and longestRest bound how long a fault lasts, and the calm behind it.
	maxFaultTime = 2500 * time.Millisecond
	maxPauseTime = 1500 * time.Millisecond
	// maxRecovery is within what time of the last fault all has to be well.
	maxRecovery = 10 * time.Second
	// diskRecovery is how long a machine has to catch up before the next disk may be lost.
	diskRecovery = 4 * time.Second
)

// runClusterHistory plays faults under traffic and changes, and gives all that was wrong.
func runClusterHistory(t *testing.T, faults []clusterFault) []string {
	t.Helper()
	c := New(Config{
		Controls: historyControls, Edges: historyEdges, Zones: zones, Log: logr.Discard(),
		Net: simnet.Config{Delay: time.Millisecond, Jitter: time.Millisecond, Seed: 1},
	})
	defer c.Stop()
	for i, zone := range zones {
		if i < historyModelBackends {
			c.AddBackend(busyModelBackend(fmt.Sprintf("i-%d", i), zone, "m0"))
		}
		c.AddBackend(busySlipBackend(fmt.Sprintf("s-%d", i), zone))
	}
	if status, answer, err := c.ReplaceConfiguration(historyDocument("/mark/"), maxRecovery); err != nil || status != 200 {
		t.Fatalf("the first configuration: %d %s %v", status, answer, err)
	}
	c.Sleep(3 * time.Second)
	w := &historyRun{cluster: c, over: make(chan struct{}), changesOver: make(chan struct{})}
	w.register.begin(historyDocument("/mark/")(1))
	for operator := range 2 {
		w.repeat(w.changesOver, 400*time.Millisecond, func() { w.write(operator, "") })
	}
	w.repeat(w.over, 300*time.Millisecond, w.read)
	for _, edge := range c.Edges {
		for range 3 {
			w.repeat(w.over, 100*time.Millisecond, func() { w.sendOnce(edge) })
		}
	}
	for _, edge := range c.Edges {
		asked := 0
		w.repeat(w.over, 250*time.Millisecond, func() {
			asked++
			w.stream(edge, fmt.Sprintf("m%d", asked/8%3)) // what is asked for changes all the time
		})
	}
	for _, f := range faults {
		clusterFaults[f.kind](c, f)
		c.Sleep(f.rest)
	}
	close(w.changesOver)
	w.checkRecovery()
	close(w.over)
	w.running.Wait()
	w.checkRequests()
	w.checkOrders()
	w.checkRegister()
	w.checkActivity(t)
	return w.violations
}

// Whole clusters live through drawn faults, under traffic and changes.
func TestDrawnClusterHistories(t *testing.T) {
	histories, first := 8, 0
	if more, err := strconv.Atoi(os.Getenv("CLUSTER_HISTORIES")); err == nil {
		histories = more
	}
	if from, err := strconv.Atoi(os.Getenv("CLUSTER_FIRST")); err == nil {
		first = from
	}
	for number := first; number < first+histories; number++ {
		t.Run(strconv.Itoa(number), func(t *testing.T) {
			t.Parallel()
			faults := drawClusterHistory(number)
			synctest.Test(t, func(t *testing.T) {
				wrong := runClusterHistory(t, faults)
				if len(wrong) == 0 {
					return
				}
				var story strings.Builder
				for _, f := range faults {
					fmt.Fprintln(&story, f)
				}
				t.Errorf("%s\nthe history:\n%s", strings.Join(wrong[:min(len(wrong), 12)], "\n"), story.String())
			})
		})
	}
}
