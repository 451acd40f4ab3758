package controlplane

import (
	"time"

	"marlreel/internal/api"
	"marlreel/internal/controlplane/result"
	"marlreel/internal/controlplane/state"
)

// This file holds the calls between control processes, as Service makes them.

// grant does what Service.submitGrant does.
func (c *simulatedControl) grant(operation *api.Operation, view uint64) {
	sim := c.sim
	if c.replica == nil {
		return
	}
	c.replica.SubmitInView(c.clock(sim.now), operation, view, c.clock(sim.now+operationTimeout), func(code result.Code, _ string) {
		if code == result.Unavailable {
			sim.coverage["a grant was rejected"]++
		}
	})
}

// commitOperation does what Service.CommitOperation does: it submits an operation to the head, and retries.
func (c *simulatedControl) commitOperation(operation *api.Operation, reply func(*result.Error)) {
	sim, deadline, attempts := c.sim, c.sim.now+operationTimeout, newOperationAttempts()
	finished, callPending := false, false
	finish := func() {
		if finished {
			return
		}
		finished = true
		if callPending && attempts.outcome.Code == result.Unavailable {
			attempts.outcome = result.Errorf(result.OutcomeUnknown, "no answer in time")
		}
		reply(attempts.outcome)
	}
	sim.after(operationTimeout, finish)
	var attempt func()
	again := func() { sim.after(attemptInterval, func() { c.run(attempt) }) }
	attempt = func() {
		head := chainStatusOf(c.replica).Head
		if finished || head == "" {
			if !finished {
				again()
			}
			return
		}
		callPending = true
		c.submitAt(head, operation, deadline, func(answer *api.SubmitReply) {
			callPending = false
			if finished {
				return
			}
			if attempts.onReply(answer) {
				finish()
				return
			}
			again()
		})
	}
	attempt()
}

// submitAt does what Service.submitAt does: it submits an operation to the head, with a deadline.
func (c *simulatedControl) submitAt(head string, operation *api.Operation, deadline time.Duration, reply func(*api.SubmitReply)) {
	sim := c.sim
	if head == c.address {
		c.submitHere(operation, c.clock(deadline), reply)
		return
	}
	headDeadline := func() *api.Instant { return c.peerClocks.instantAt(head, sim.clock().Add(deadline-sim.now)) }
	submit := func(instant *api.Instant) {
		c.submitTo(head, &api.SubmitRequest{Operation: operation, Deadline: instant}, deadline, func(answer *api.SubmitReply) {
			if answer == nil {
				answer = &api.SubmitReply{Code: uint32(result.OutcomeUnknown)}
			}
			reply(answer)
		})
	}
	if instant := headDeadline(); instant != nil {
		submit(instant)
		return
	}
	c.submitTo(head, &api.SubmitRequest{}, deadline, func(answer *api.SubmitReply) {
		if answer == nil || headDeadline() == nil {
			reply(&api.SubmitReply{Code: uint32(result.Unavailable)})
			return
		}
		submit(headDeadline())
	})
}

func (c *simulatedControl) submitTo(head string, request *api.SubmitRequest, deadline time.Duration, reply func(*api.SubmitReply)) {
	sim := c.sim
	call(sim, c.address, head, deadline-sim.now, func(answer func(*api.SubmitReply)) {
		if server := sim.controlAt(head); server != nil {
			server.run(func() { server.submit(request, answer) })
		}
	}, func(answer **api.SubmitReply) {
		if answer == nil {
			reply(nil)
			return
		}
		c.peerClocks.onClockReading(head, (*answer).Clock, sim.clock())
		reply(*answer)
	})
}

// submit does what Service.Submit does.
func (c *simulatedControl) submit(request *api.SubmitRequest, reply func(*api.SubmitReply)) {
	replyWithClock := func(answer *api.SubmitReply) {
		answer.Clock = &api.Instant{Incarnation: uint64(c.incarnation), MonotonicNs: uint64(c.clock(c.sim.now))}
		reply(answer)
	}
	if request.Operation == nil || request.Deadline.GetIncarnation() != uint64(c.incarnation) {
		replyWithClock(&api.SubmitReply{Code: uint32(result.Unavailable)})
		return
	}
	if time.Duration(request.Deadline.MonotonicNs) <= c.clock(c.sim.now) {
		c.sim.coverage["an operation arrived after its deadline"]++
	}
	c.submitHere(request.Operation, time.Duration(request.Deadline.MonotonicNs), replyWithClock)
}

func (c *simulatedControl) submitHere(operation *api.Operation, deadline time.Duration, reply func(*api.SubmitReply)) {
	if c.replica == nil {
		reply(&api.SubmitReply{Code: uint32(result.Unavailable)})
		return
	}
	c.replica.Submit(c.clock(c.sim.now), operation, deadline, func(code result.Code, detail string) {
		reply(&api.SubmitReply{Code: uint32(code), Detail: detail})
	})
}

// newestState is the result of a read of the newest state.
type newestState struct {
	version   uint64
	text      string
	evacuated bool // whether evacuatedZone is evacuated
	retired   map[string]bool
}

// read reads the newest state from the tail. It replies nil if the read fails.
func (c *simulatedControl) read(ids []string, reply func(*newestState)) {
	tail := chainStatusOf(c.replica).Tail
	if tail == "" {
		reply(nil)
		return
	}
	sim := c.sim
	call(sim, c.address, tail, operationTimeout, func(answer func(*newestState)) {
		server := sim.controlAt(tail)
		if server == nil {
			return
		}
		server.run(func() {
			if server.replica == nil {
				answer(nil)
				return
			}
			server.replica.ReadAtTail(server.clock(sim.now), func(code result.Code, m *state.Machine) { answer(stateRead(code, m, ids)) })
		})
	}, func(answer **newestState) {
		if answer == nil {
			reply(nil)
			return
		}
		reply(*answer)
	})
}

func stateRead(code result.Code, m *state.Machine, ids []string) *newestState {
	if code != result.Committed {
		return nil
	}
	s := &newestState{version: m.Version(), evacuated: m.IsEvacuated(evacuatedZone), retired: map[string]bool{}}
	if m.Document() != nil {
		s.text = string(m.Document().Raw())
	}
	for _, id := range ids {
		s.retired[id] = m.IsRetired(id)
	}
	return s
}

// lease does what Service.Lease does: the head answers, and others forward the request once.
func (c *simulatedControl) lease(holder string, forwarded bool, reply func(*api.LeaseReply)) {
	sim, unavailable := c.sim, &api.LeaseReply{Code: uint32(result.Unavailable)}
	head := chainStatusOf(c.replica).Head
	switch {
	case c.replica == nil || head == "":
		reply(unavailable)
	case head == c.address:
		c.replica.ReadAtHead(c.clock(sim.now), func(code result.Code, m *state.Machine) {
			answer := &api.LeaseReply{Code: uint32(code)}
			if m != nil {
				answer.Renewed = c.leases.manager.Renew(holder, false, m.Leases())
				answer.ValidMs = uint32(c.leases.manager.GrantDuration().Milliseconds())
			}
			reply(answer)
		})
	case forwarded:
		reply(unavailable)
	default:
		call(sim, c.address, head, forwardTimeout, func(answer func(*api.LeaseReply)) {
			if server := sim.controlAt(head); server != nil {
				server.run(func() { server.lease(holder, true, answer) })
			}
		}, func(answer **api.LeaseReply) {
			if answer != nil {
				reply(*answer)
			}
		})
	}
}
