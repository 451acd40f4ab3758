package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The model service of the users' small site vestkyst-licens has 18 servers with 64 places each.
const (
	modelServers = 18
	places       = modelServers * 64
	prefill      = 900 * time.Millisecond
	frozenFor    = 5 * time.Second
	deployments  = 4
	// silence is after which silence clients give a stream up: two seconds, four times the objective or eight times the
	// longest pause, whichever is longest.
	silence = 3200 * time.Millisecond
	// routeTimeout is the route's timeout_ms, answerSlack how much later every request has to have its final answer.
	routeTimeout = 15 * time.Second
	answerSlack  = 500 * time.Millisecond
)

// signal sends a signal to a process that the case has started.
func (s *system) signal(name string, signal syscall.Signal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if command := s.processes[name]; command != nil {
		_ = command.Process.Signal(signal)
		s.record.add("%v to %s", signal, name)
	}
}

// followStream sends a request for a stream, and gives it up after a silence. It reports whether the stream was complete.
func (s *system) followStream() bool {
	conn, err := net.DialTimeout("tcp", s.front(), time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(silence))
	_, err = fmt.Fprintf(conn, "POST /chat/1 HTTP/1.1\r\nHost: hall.example\r\nRequest-Id: %s\r\nTime-Remaining: 15000\r\n"+
		"Model: %s\r\nToken-Count: 100,20\r\nPrompt-Prefix: a1:100\r\nContent-Length: 5\r\n\r\nhello", newID(), modelName)
	if err != nil {
		return false
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || response.StatusCode != http.StatusOK {
		return false
	}
	defer response.Body.Close()
	for buffer := make([]byte, 4<<10); ; {
		_ = conn.SetDeadline(time.Now().Add(silence))
		_, err := response.Body.Read(buffer)
		if err != nil {
			return errors.Is(err, io.EOF)
		}
	}
}

// playFreeze plays the same in several deployments, one after another, as not every freeze shows the fault.
func playFreeze(s *system, trouble bool) (broken bool, err error) {
	for number := range deployments {
		s.record.add("deployment %d", number+1)
		deployment, err := newSystem(s.record)
		if err != nil {
			return false, err
		}
		broken, err = deployment.freezeOnce(trouble)
		deployment.stop()
		if broken || err != nil {
			return broken, err
		}
	}
	return false, nil
}

// freezeOnce freezes the proxy while all places of its model servers are taken, and wakes it again. Later the operator
// drops a route of another service.
func (s *system) freezeOnce(trouble bool) (broken bool, err error) {
	if err := s.startBackend("i-tally-1", "tally", "", 60, 30*time.Millisecond); err != nil {
		return false, err
	}
	if err := s.prepare(modelService, "chunks", modelServers, prefill); err != nil {
		return false, err
	}
	if !s.tallyRuns() {
		return false, errors.New("the route isn't served")
	}
	if complete := s.crowd(trouble); !trouble && complete < places/2 {
		return false, errors.New("the streams aren't served")
	}
	time.Sleep(4 * time.Second) // the machine is in touch again after in_touch_ms
	if status, err := s.configure(2, 1, document(2, chatRoute)); err != nil || status != http.StatusOK {
		return false, fmt.Errorf("the second configuration: %d, %w", status, err)
	}
	time.Sleep(configApply + time.Second)
	if s.tallyRuns() {
		s.record.add("CONFIG: a request was run with a route that was dropped over %v ago", configApply)
		broken = true
	}
	return s.allLate() || broken, nil
}

// configApply is config_apply_ms.
const configApply = 2 * time.Second

// tallyRuns sends a request on the route of the other service, and reports whether it was run.
func (s *system) tallyRuns() bool {
	id := newID()
	s.send(id, "/tally/slip", nil, "slip", 2500*time.Millisecond)
	return len(s.record.runsOf(id)) > 0
}

// crowd sends requests for streams that take all places, and returns how many were complete when the clients have
// their streams or have left.
// One half comes before the freeze, the other half in its last second, when the first half's clients have left.
func (s *system) crowd(trouble bool) (served int64) {
	var complete atomic.Int64
	var clients sync.WaitGroup
	come := func() {
		for range places / 2 {
			clients.Go(func() {
				if s.followStream() {
					complete.Add(1)
				}
			})
		}
	}
	come()
	time.Sleep(prefill - 100*time.Millisecond)
	if trouble {
		s.signal("edge-1 proxy", syscall.SIGSTOP)
	}
	time.Sleep(frozenFor - time.Second)
	come()
	time.Sleep(time.Second)
	if trouble {
		s.signal("edge-1 proxy", syscall.SIGCONT)
	}
	clients.Wait()
	s.record.add("of %d streams, %d were complete", places, complete.Load())
	return complete.Load()
}

// allLate sends requests for streams, and reports whether eight or more of them, and over a quarter, have no answer
// answerSlack after their route's timeout_ms.
func (s *system) allLate() bool {
	const requests = 20
	var late atomic.Int64
	var clients sync.WaitGroup
	for range requests {
		clients.Go(func() {
			a := s.send(newID(), "/chat/1", []string{"Model: " + modelName, "Token-Count: 100,20", "Prompt-Prefix: a1:100"}, "hello", routeTimeout+answerSlack)
			if a.status == 0 {
				late.Add(1)
			}
		})
	}
	clients.Wait()
	s.record.add("of %d requests, %d have no answer %v after timeout_ms", requests, late.Load(), answerSlack)
	return late.Load() >= 8
}
