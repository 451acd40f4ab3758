package main

import (
	"net/http"
	"os"
	"slices"
	"syscall"
	"testing"
	"time"
)

// Guards against lost changes, answers that are not linearizable and requests that run twice when processes fail. Five
// control processes and six proxies with their agents are killed, suspended for twenty seconds, partitioned in one
// direction and in both, and lose their disks, all under traffic, configuration changes and reads.
func TestProcessesSurviveFaults(t *testing.T) {
	t.Parallel()
	s := startSystem(t)
	s.await("the first configuration is committed", func() bool {
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
	s.await("a change is committed", func() bool { return s.changeConfiguration(0) })
	s.awaitInForce()
	s.checkHistory()
}

// injectFaults kills, suspends, partitions and restarts processes, one after the other.
func (s *testSystem) injectFaults() {
	head := s.awaitChain("all are in the chain before the faults", controlCount)
	head.kill()
	s.awaitChain("the head was killed; four are in the chain", controlCount-1)
	head.start()
	suspended := s.awaitChain("it is back in the chain", controlCount)

	suspended.signal(syscall.SIGSTOP)
	began := time.Now()
	s.awaitChain("the head is suspended; four are in the chain", controlCount-1)
	others := slices.DeleteFunc(slices.Clone(s.controls), func(p *process) bool { return p == suspended })
	s.partition(others[0], others[1:])
	s.partitionOneWay(others[1], others[2:])
	s.loseDisk(others[2])
	s.restartEdge(s.edges[0], s.edges[1])
	if left := suspendTime - time.Since(began); left > 0 {
		sleep(left)
	}
	suspended.signal(syscall.SIGCONT)
	s.awaitChain("the head runs again after twenty seconds; all are in the chain", controlCount)

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
		s.t.Errorf("a control process ended with %v after SIGTERM", err)
	}
	leaving.command = nil
	s.awaitChain("one has left; four are in the chain", controlCount-1)
	leaving.start()
	s.awaitChain("all are in the chain", controlCount)
}

// partition cuts a control process off from others in both directions, until the chain has removed it, and then reconnects it.
func (s *testSystem) partition(c *process, others []*process) {
	set := func(partitioned bool) {
		for _, other := range others {
			c.setPartitioned(other.settings.IP, partitioned)
			other.setPartitioned(c.settings.IP, partitioned)
		}
	}
	set(true)
	s.awaitChain(c.settings.NodeName+" is partitioned; three are in the chain", controlCount-2)
	set(false)
	s.awaitChain("it is back in the chain", controlCount-1)
}

// partitionOneWay is partition, but only for what the control process sends: it still receives from the others.
func (s *testSystem) partitionOneWay(c *process, others []*process) {
	for _, other := range others {
		c.setPartitioned(other.settings.IP, true)
	}
	s.awaitChain(c.settings.NodeName+" can't send; three are in the chain", controlCount-2)
	for _, other := range others {
		c.setPartitioned(other.settings.IP, false)
	}
	s.awaitChain("it is back in the chain", controlCount-1)
}

// loseDisk kills a control process, and restarts it with an empty data folder.
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
	s.awaitChain("it is back in the chain", controlCount-1)
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
