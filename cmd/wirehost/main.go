// Command wirehost hosts instances of the decision module and speaks the simulator's protocol ([marlreel/internal/simwire]):
// it reads batches of events on standard input and writes one reply to each on standard output. It exits with status 0
// if the input ends between batches, and otherwise with status 1 and one line on standard error.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"marlreel/internal/balancer"
	"marlreel/internal/simwire"
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}

// serve answers batches until the input ends. A reply is written in one piece, after the whole batch has been
// handled; nothing is written for an invalid batch.
func serve(in io.Reader, out io.Writer) error {
	in = bufio.NewReaderSize(in, 1<<16)
	running := instances{}
	var reply simwire.Reply
	var buf []byte
	for {
		batch, used, err := simwire.ReadBatch(in, buf)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		buf = used
		reply.Reset(batch.Sequence)
		err = batch.Each(func(event *simwire.Event) error { return running.handle(&reply, batch.Now, event) })
		if err != nil {
			return err
		}
		_, err = out.Write(reply.Bytes())
		if err != nil {
			return eris.Wrapf(err, "batch %d: writing the reply", batch.Sequence)
		}
	}
}

// instances are the running instances of the decision module, by their number on the wire.
type instances map[uint16]*balancer.Balancer

// handle passes an event to its instance, whose actions are added to the reply.
func (all instances) handle(reply *simwire.Reply, now time.Duration, event *simwire.Event) error {
	if event.Code == simwire.EventInit {
		return all.start(reply, now, event)
	}
	b := all[event.Instance]
	if b == nil {
		return fmt.Errorf("instance %d was never initialised", event.Instance)
	}
	switch event.Code {
	case simwire.EventMembership:
		b.OnMembership(now, event.Membership)
	case simwire.EventRequest:
		b.OnRequest(now, event.Request)
	case simwire.EventFirstByte:
		b.OnFirstByte(now, event.FirstByte)
	case simwire.EventAttemptEnd:
		b.OnAttemptEnd(now, event.Outcome)
	case simwire.EventClientGone:
		b.OnClientGone(now, event.RequestID)
	case simwire.EventTimer:
		b.OnTimer(now, event.TimerToken)
	case simwire.EventHealthCheck:
		b.OnHealthCheck(now, event.HealthCheck)
	case simwire.EventPeerMessage:
		b.OnPeerMessage(now, event.PeerMessage)
	case simwire.EventDestroy:
		delete(all, event.Instance)
	}
	return nil
}

// start creates an instance, and replaces a running one with the same number.
func (all instances) start(reply *simwire.Reply, now time.Duration, event *simwire.Event) error {
	cfg, err := simwire.ParseBootInfo(string(event.BootInfo))
	if err != nil {
		return err
	}
	b, err := balancer.New(cfg, event.Seed, simwire.Actions{Reply: reply, Instance: event.Instance})
	if err != nil {
		return err
	}
	all[event.Instance] = b
	b.Start(now)
	return nil
}
