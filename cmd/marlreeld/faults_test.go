package main

import (
	"net/http"
	"os"
	"slices"
	"syscall"
	"testing"
	"time"
)

// Five control processes and six proxies with their agents, as programs: killed, stopped for twenty seconds, cut off
// in one direction and in both, their disks lost, all of it under traffic, changes and reads.
func TestProcessesSurviveFaults(t *testing.T) {
	t.Parallel()
	s := startSystem(t)
	s.await("the first configuration is taken", func() bool {
		code, _ := s.call(s.controls[0].settings.Listen.Control, http.MethodPost, "/marlreel/config/replace", "0", testDocument(1, "first"))
		return code == http.StatusOK
	})
	s.awaitChain("all five are in the chain", controlCount)
	for _, p := range s.proxies() {
		s.await(p.settings.NodeName+" serves", func() bool { return s.sendRequest(p, "slip") == http.StatusOK })
	}
	var steps []func()
	for operator := range 2 {
		steps = append(steps, func() { s.changeConfiguration(operator) })
	}
	for _, c := range s.controls {
		steps = append(steps, func() { s.readConfiguration(c) })
	}
	for _, p := range s.proxies() {
		steps = append(steps, func() { s.sendRequest(p, "slip") })
	}
	whileRunning(func() { s.injectFaults() }, steps...)
	s.await("a change is taken", func() bool { return s.changeConfiguration(0) })
	s.awaitInForce()
	s.checkHistory()
}

// injectFaults kills, suspends, partitions and restarts processes, one after the other.
func (s *testSystem) injectFaults() {
	head := s.awaitChain("all are well", controlCount)
	head.kill()
	s.awaitChain("the head was killed; four are in the chain", controlCount-1)
	head.start()
	stopped := s.awaitChain("it is back", controlCount)

	stopped.signal(syscall.SIGSTOP)
	began := time.Now()
	s.awaitChain("the head stands still; four are in the chain", controlCount-1)
	others := slices.DeleteFunc(slices.Clone(s.controls), func(p *process) bool { return p == stopped })
	s.partition(others[0], others[1:])
	s.partitionOneWay(others[1], others[2:])
	s.loseDisk(others[2])
	s.restartEdge(s.edges[0], s.edges[1])
	if left := suspendTime - time.Since(began); left > 0 {
		sleep(left)
	}
	stopped.signal(syscall.SIGCONT)
	s.awaitChain("after twenty seconds it goes on; all are in the chain", controlCount)

	for _, c := range s.controls {
		c.kill()
	}
	for _, c := range s.controls {
		c.start()
	}
	s.awaitChain("all were killed at once; all are in the chain", controlCount)
	leaving := s.controls[1]
	leaving.signal(syscall.SIGTERM)
	if err := leaving.command.Wait(); err != nil {
		s.t.Errorf("it was told to end, and ended with %v", err)
	}
	leaving.command = nil
	s.awaitChain("one has left; four are in the chain", controlCount-1)
	leaving.start()
	s.awaitChain("all are in the chain", controlCount)
}

// partition parts a control process from others for some seconds, in both directions.
func (s *testSystem) partition(c *process, others []*process) {
	set := func(partitioned bool) {
		for _, other := range others {
			c.setPartitioned(other.settings.IP, partitioned)
			other.setPartitioned(c.settings.IP, partitioned)
		}
	}
	set(true)
	s.awaitChain(c.settings.NodeName+" is cut off; three are in the chain", controlCount-2)
	set(false)
	s.awaitChain("it is back", controlCount-1)
}

// partitionOneWay lets nothing pass from a control process to others, which it hears.
func (s *testSystem) partitionOneWay(c *process, others []*process) {
	for _, other := range others {
		c.setPartitioned(other.settings.IP, true)
	}
	s.awaitChain(c.settings.NodeName+" is not heard; three are in the chain", controlCount-2)
	for _, other := range others {
		c.setPartitioned(other.settings.IP, false)
	}
	s.awaitChain("it is back", controlCount-1)
}

// loseDisk ends a control process, and starts it with an empty folder.
func (s *testSystem) loseDisk(c *process) {
	c.kill()
	if err := os.RemoveAll(c.settings.DataDir); err != nil {
		s.t.Fatal(err)
	}
	if err := os.MkdirAll(c.settings.DataDir, 0o755); err != nil {
		s.t.Fatal(err)
	}
	s.awaitChain(c.settings.NodeName+" has lost its disk; three are in the chain", controlCount-2)
	c.start()
	s.awaitChain("it is back", controlCount-1)
}

// restartEdge kills a machine's processes and starts them again.
func (s *testSystem) restartEdge(processes ...*process) {
	for _, p := range processes {
		p.kill()
	}
	for _, p := range processes {
		p.start()
	}
	proxy := processes[len(processes)-1]
	s.await(proxy.settings.NodeName+" serves again", func() bool { return s.sendRequest(proxy, "slip") == http.StatusOK })
}
