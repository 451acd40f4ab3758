// Wirehost hosts instances of the decision module on the simulator's wire:
// batches of events on standard input, one reply to each on standard output.
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"

	"marlreel/internal/balancer"
	"marlreel/internal/wire"
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}

// serve answers batches until the input ends. A reply is written whole or not at all.
func serve(in io.Reader, out io.Writer) error {
	in = bufio.NewReaderSize(in, 1<<16)
	instances := map[uint16]*balancer.Balancer{}
	var reply wire.Reply
	var buf []byte
	for {
		var batch wire.Batch
		var err error
		if batch, buf, err = wire.ReadBatch(in, buf); err == io.EOF {
			return nil
		} else if err != nil {
			return err
		}
		reply.Reset(batch.Seq)
		err = batch.Each(func(ev *wire.Event) error { return deliver(instances, &reply, batch, ev) })
		if err != nil {
			return err
		}
		if _, err := out.Write(reply.Bytes()); err != nil {
			return fmt.Errorf("batch %d: writing the reply: %w", batch.Seq, err)
		}
	}
}

func deliver(instances map[uint16]*balancer.Balancer, reply *wire.Reply, batch wire.Batch, ev *wire.Event) error {
	if ev.Code == wire.Init {
		cfg, err := wire.ParseBootInfo(string(ev.BootInfo))
		if err != nil {
			return err
		}
		b, err := balancer.New(cfg, ev.Seed, wire.Actions{To: reply, Instance: ev.Instance})
		if err != nil {
			return err
		}
		instances[ev.Instance] = b
		b.Start(batch.Now)
		return nil
	}
	b := instances[ev.Instance]
	if b == nil {
		return fmt.Errorf("instance %d was never initialised", ev.Instance)
	}
	switch now := batch.Now; ev.Code {
	case wire.Membership:
		b.OnMembership(now, ev.List)
	case wire.Ask:
		b.OnRequest(now, ev.Request)
	case wire.Headers:
		b.OnFirstByte(now, ev.First)
	case wire.Returned:
		b.OnAttemptEnd(now, ev.Outcome)
	case wire.Aborted:
		b.OnClientGone(now, ev.ID)
	case wire.Elapsed:
		b.OnTimer(now, ev.Token)
	case wire.Probed:
		b.OnHealthCheck(now, ev.Probe)
	case wire.Peer:
		b.OnPeerMessage(now, ev.Message)
	case wire.Destroy:
		delete(instances, ev.Instance)
	}
	return nil
}
