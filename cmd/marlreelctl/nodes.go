package main

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"marlreel/internal/discovery/membership"
	"marlreel/internal/discovery/registry"
)

type nodesCmd struct {
	List    listCmd    `cmd:"" help:"List them, with what can't be read."`
	Put     putCmd     `cmd:"" help:"Put a node into the list as ready, or change it."`
	Drain   drainCmd   `cmd:"" help:"Let a node get nothing new."`
	Remove  removeCmd  `cmd:"" help:"Take a node out of the list: one that drains, unless --now."`
	Confirm confirmCmd `cmd:"" help:"Say to all proxies that a list which lost most of its entries is right."`
}

// maxRegistryAttempts is how often an operation is tried, each time at another endpoint.
const maxRegistryAttempts = 3

// withRetry runs an operation on the registry, and retries it at the next endpoint if one can't be reached.
func (s *site) withRetry(operation func() error) error {
	var err error
	for range maxRegistryAttempts {
		err = operation()
		if err == nil || !registry.Unreachable(err) || s.ctx.Err() != nil {
			return err
		}
		s.registry.NextEndpoint()
	}
	return err
}

type listCmd struct{}

func (listCmd) Run(s *site) error {
	var snapshot membership.Snapshot
	err := s.withRetry(func() error {
		var err error
		snapshot, err = s.registry.ReadSnapshot(s.ctx)
		return err
	})
	if err != nil {
		return err
	}
	if snapshot.Stale {
		fmt.Fprintln(s.out, "the registry has no quorum: this may be old")
	}
	slices.SortFunc(snapshot.Items, func(a, b membership.Item) int { return strings.Compare(a.Name, b.Name) })
	fmt.Fprintf(s.out, "%-20s %-9s %-22s %-12s %-12s %s\n", "node", "state", "address", "zone", "kind", "revision")
	for _, item := range snapshot.Items {
		printNode(s.out, item)
	}
	return nil
}

func printNode(out io.Writer, item membership.Item) {
	if item.Name == membership.ConfirmKey {
		return
	}
	if item.Malformed != "" {
		fmt.Fprintf(out, "%-20s can't be read: %s\n", item.Name, item.Malformed)
		return
	}
	state := "ready"
	if item.Entry.Draining {
		state = "draining"
	}
	fmt.Fprintf(out, "%-20s %-9s %-22s %-12s %-12s %d\n", item.Name, state, item.Entry.Addr, item.Entry.Zone, item.Entry.Kind, item.ModRevision)
}

type putCmd struct {
	Name    string  `arg:""`
	Address string  `arg:"" help:"ip:port."`
	Zone    string  `required:""`
	Kind    string  ``
	Weight  float64 `default:"1"`
}

// change reads a node's entry and writes the value that update returns, unless somebody else has written it meanwhile.
func (s *site) change(name string, update func(item membership.Item) (registry.Value, error)) error {
	if name == membership.ConfirmKey || strings.ContainsAny(name, "/ ") {
		return &NodeError{strconv.Quote(name), "is no node's name", nil}
	}
	return s.withRetry(func() error {
		item, err := registry.ReadItem(s.ctx, s.registry, name)
		if err != nil {
			return err
		}
		value, err := update(item)
		if err != nil {
			return err
		}
		data, err := value.Encode()
		if err != nil {
			return err
		}
		if err := s.registry.Put(s.ctx, name, data, item.ModRevision, ""); err != nil {
			return &NodeError{name, "it could not be written", err}
		}
		fmt.Fprintf(s.out, "%s: %s at %s\n", name, value.State, value.Address)
		return nil
	})
}

func (c putCmd) Run(s *site) error {
	return s.change(c.Name, func(item membership.Item) (registry.Value, error) {
		return registry.Value{Address: c.Address, Zone: c.Zone, Kind: c.Kind, Weight: c.Weight, State: "ready", Started: item.Entry.Started}, nil
	})
}

type drainCmd struct {
	Name string `arg:""`
}

func (c drainCmd) Run(s *site) error {
	return s.change(c.Name, func(item membership.Item) (registry.Value, error) {
		switch e := item.Entry; {
		case item.ModRevision == 0:
			return registry.Value{}, &NodeError{c.Name, "is not in the list", nil}
		case item.Malformed != "":
			return registry.Value{}, &NodeError{c.Name, "can't be read (" + item.Malformed + "): put it first", nil}
		default:
			return registry.Value{Address: e.Addr, Zone: e.Zone, Kind: e.Kind, Cell: e.Cell, Weight: e.Weight, Started: e.Started, State: "draining"}, nil
		}
	})
}

type removeCmd struct {
	Name string `arg:""`
	Now  bool   `help:"Also one that does not drain: what it has in hand is cut off."`
}

func (c removeCmd) Run(s *site) error {
	return s.withRetry(func() error {
		item, err := registry.ReadItem(s.ctx, s.registry, c.Name)
		switch {
		case err != nil:
			return err
		case item.ModRevision == 0:
			return &NodeError{c.Name, "is not in the list", nil}
		case item.Malformed == "" && !item.Entry.Draining && !c.Now:
			return &NodeError{c.Name, "does not drain: drain it first, or --now", nil}
		}
		if err := s.registry.Delete(s.ctx, c.Name, item.ModRevision); err != nil {
			return &NodeError{c.Name, "it could not be removed", err}
		}
		fmt.Fprintf(s.out, "%s: removed\n", c.Name)
		return nil
	})
}

type confirmCmd struct{}

func (confirmCmd) Run(s *site) error {
	return s.withRetry(func() error {
		confirmation := fmt.Appendf(nil, `{"at":%q}`, time.Now().UTC().Format(time.RFC3339))
		if err := s.registry.Put(s.ctx, membership.ConfirmKey, confirmation, registry.AnyRevision, ""); err != nil {
			return err
		}
		fmt.Fprintln(s.out, "confirmed: the proxies let go what is no longer in the list")
		return nil
	})
}
