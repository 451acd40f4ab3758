package rehearsal

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"time"

	"marlreel/internal/standin"
)

// UpOptions configures Up.
type UpOptions struct {
	Listen  string
	Nodes   int
	Command []string
	Out     io.Writer
}

// Up starts a small fleet and one proxy, prints example requests, and keeps them running until ctx
// ends. Everything has stopped when it returns.
func Up(ctx context.Context, s *Scenario, o UpOptions) error {
	addr, err := netip.ParseAddrPort(o.Listen)
	if err != nil || !addr.Addr().IsLoopback() {
		return fmt.Errorf("--listen %s: a loopback address and a port are needed, such as 127.0.0.1:7800", o.Listen)
	}
	if o.Nodes < 1 || o.Nodes > 50 {
		return fmt.Errorf("--nodes %d: 1 to 50 are possible", o.Nodes)
	}
	l, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return fmt.Errorf("--listen %s: %w", o.Listen, err)
	}
	l.Close()
	s.Faults, s.Proxies.Count = nil, 1
	kind := s.Fleet.Nodes[0]
	kind.Count = o.Nodes
	s.Fleet.Nodes = []NodeKind{kind}
	plan := Draw(s, s.Seed)
	plan.Requests = nil // the requests come from outside
	dir, err := os.MkdirTemp("", "rehearse-up-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	w, err := newTestbed(s, plan, standin.NewClock(), nil, dir)
	defer w.close()
	if err != nil {
		return err
	}
	w.serveUnplanned = true
	defer w.stopProxies()
	if err := w.startProxies(ctx, o.Command, []string{o.Listen}); err != nil {
		return err
	}
	fmt.Fprintf(o.Out, "%d auction nodes behind one proxy at http://%s; Ctrl-C ends them. Try:\n\n", o.Nodes, o.Listen)
	const id = `-H "X-Correlation-Id: $(od -An -N8 -tx1 /dev/urandom | tr -d ' \n')"`
	for _, c := range s.Classes {
		more := ""
		switch c.Effect {
		case "unsafe":
			more = ` -d 'lot=4711&price=12.50'`
		case "keyed":
			more = ` -H "Idempotency-Key: $(od -An -N16 -tx1 /dev/urandom | tr -d ' \n')" -d 'lot=4711'`
		}
		fmt.Fprintf(o.Out, "  # %s, %s: worth %g, wanted within %v\n", c.Name, c.Effect, c.Worth, c.Aim.D())
		fmt.Fprintf(o.Out, "  curl -i %s -H 'X-Account: %s' -H 'X-Time-Left: %dm'%s http://%s/%s/7f3a9c21\n\n",
			id, s.Houses[0].Name, c.GiveUp.D().Milliseconds(), more, o.Listen, c.Name)
	}
	fmt.Fprintf(o.Out, "  # is it ready?\n  curl -i http://%s/ready\n", o.Listen)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(200 * time.Millisecond):
			if w.crashed() > 0 {
				return errors.New(w.crashes[0])
			}
		}
	}
}
