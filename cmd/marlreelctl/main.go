// Marlreelctl is for the operators of a site that keeps its node list in a registry: it lists nodes, puts,
// drains and removes them, and confirms a list that lost most of its entries.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"marlreel/internal/actionable"
	"marlreel/internal/config"
	"marlreel/internal/discovery/membership"
	"marlreel/internal/discovery/registry"
)

const about = `Keep the list of nodes in a registry, and the settings on which a fleet of proxies agrees.

It finds the registry, and the fleet's folder on this machine, in the file that the proxies have (--config).
Every write to a registry counts only if nobody else wrote the entry meanwhile; of two proposals to a fleet one
wins, and the other is told by whom.

Exit codes: 0 done, 1 refused, or who was asked can't be reached, 2 wrong use.`

type cli struct {
	Config string        `help:"The file with [registry], as the proxies have it." placeholder:"FILE"`
	Within time.Duration `default:"15s" help:"How long it may take."`

	Discovery discoveryCmd `cmd:"" help:"Whose list a proxy goes by, how old it is, what is held and what can't be read."`
	Nodes     nodesCmd     `cmd:"" help:"The nodes: list, put, drain, remove, confirm."`
	Fleet     fleetCmd     `cmd:"" help:"The fleet of proxies: who lives, which settings they agree on, and who keeps them."`
}

type nodesCmd struct {
	List    listCmd    `cmd:"" help:"List them, with what can't be read."`
	Put     putCmd     `cmd:"" help:"Put a node into the list as ready, or change it."`
	Drain   drainCmd   `cmd:"" help:"Let a node get nothing new."`
	Remove  removeCmd  `cmd:"" help:"Take a node out of the list: one that drains, unless --now."`
	Confirm confirmCmd `cmd:"" help:"Say to all proxies that a list which lost most of its entries is right."`
}

// site is the registry, and where to write.
type site struct {
	ctx context.Context
	w   registry.Writer
	out io.Writer
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

func run(ctx context.Context, args []string, out, errs io.Writer) int {
	var c cli
	ended := -1
	parser, err := kong.New(&c, kong.Name("marlreelctl"), kong.Description(about), kong.Writers(out, errs), kong.Exit(func(code int) { ended = code }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}))
	if err != nil {
		fmt.Fprintln(errs, "marlreelctl:", err)
		return 2
	}
	k, err := parser.Parse(args)
	if ended >= 0 {
		return ended
	}
	fail := func(code int, err error) int {
		fmt.Fprintf(errs, "marlreelctl: %s\n", strings.Join(strings.Fields(actionable.Message(err)), " "))
		return code
	}
	if err != nil {
		return fail(2, &UsageError{err.Error()})
	}
	ctx, done := context.WithTimeout(ctx, c.Within)
	defer done()
	if strings.HasPrefix(k.Command(), "discovery") {
		if err := k.Run(&site{ctx: ctx, out: out}); err != nil {
			return fail(1, err)
		}
		return 0
	}
	if strings.HasPrefix(k.Command(), "fleet") {
		s, err := openFleet(ctx, c.Config, c.Fleet.Socket, out)
		if err != nil {
			return fail(2, err)
		}
		if err := k.Run(s, &c); err != nil {
			return fail(1, err)
		}
		return 0
	}
	if c.Config == "" {
		return fail(2, &UsageError{"--config is missing: the file with [registry], as the proxies have it"})
	}
	own, err := config.LoadOperator(c.Config)
	if err != nil {
		return fail(2, err)
	}
	if !own.Registry.Enabled() {
		return fail(2, &UsageError{c.Config + ": registry.kind is not set: there is no registry"})
	}
	w, err := registry.NewWriter(own.Registry)
	if err != nil {
		return fail(2, err)
	}
	defer w.NextEndpoint()
	if err := k.Run(&site{ctx, w, out}); err != nil {
		return fail(1, err)
	}
	return 0
}

// reach does something with the registry, at the next endpoint where one can't be reached.
func (s *site) reach(endpoints int, what func() error) (err error) {
	for range endpoints {
		if err = what(); err == nil || !registry.Unreachable(err) || s.ctx.Err() != nil {
			return err
		}
		s.w.NextEndpoint()
	}
	return err
}

const tries = 3 // endpoints, of one registry

type discoveryCmd struct {
	Control string `required:"" env:"NODE_CONTROL" help:"Where the proxy's door is." placeholder:"ADDRESS"`
	JSON    bool   `name:"json" help:"As the proxy says it."`
}

func (d discoveryCmd) Run(s *site) error {
	r, err := http.NewRequestWithContext(s.ctx, http.MethodGet, "http://"+d.Control+"/control/discovery", nil)
	if err != nil {
		return err
	}
	r.Close = true
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return &DoorError{d.Control, err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, 16<<20))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return &DoorError{d.Control, errors.New(strings.TrimSpace(string(body)))}
	}
	if d.JSON {
		_, err = s.out.Write(body)
		return err
	}
	var st membership.Status
	if err := json.Unmarshal(body, &st); err != nil {
		return &DoorError{d.Control, err}
	}
	source, age := st.Source, "not known"
	if source == "" {
		source = "an old list"
	}
	if st.Age >= 0 {
		age = st.Age.Round(time.Millisecond).String()
	}
	fmt.Fprintf(s.out, "%s, revision %d: %d entries; up to date as of %s ago\n", source, st.Revision, st.Entries, age)
	for _, x := range st.Sources {
		state := "well"
		switch {
		case x.Unreachable:
			state = "lost: " + x.LossReason
		case !x.Synced:
			state = "its whole list is on its way, or was never told"
		}
		fmt.Fprintf(s.out, "  %-10s revision %-8d %s\n", x.Name, x.Revision, state)
		for _, name := range slices.Sorted(maps.Keys(x.Malformed)) {
			fmt.Fprintf(s.out, "    %s can't be read: %s\n", name, x.Malformed[name])
		}
	}
	if len(st.Retained) > 0 {
		fmt.Fprintf(s.out, "held, for most of the list went at once (marlreelctl nodes confirm lets them go): %s\n", strings.Join(st.Retained, ", "))
	}
	if len(st.Damped) > 0 {
		fmt.Fprintf(s.out, "out, for they come and go: %s\n", strings.Join(st.Damped, ", "))
	}
	return nil
}

type listCmd struct{}

func (listCmd) Run(s *site) error {
	var w membership.Snapshot
	if err := s.reach(tries, func() (err error) { w, err = s.w.ReadSnapshot(s.ctx); return err }); err != nil {
		return err
	}
	if w.Stale {
		fmt.Fprintln(s.out, "the registry has no quorum: this may be old")
	}
	slices.SortFunc(w.Items, func(a, b membership.Item) int { return strings.Compare(a.Name, b.Name) })
	fmt.Fprintf(s.out, "%-20s %-9s %-22s %-12s %-12s %s\n", "node", "state", "address", "zone", "kind", "revision")
	for _, i := range w.Items {
		switch {
		case i.Name == membership.ConfirmKey:
		case i.Malformed != "":
			fmt.Fprintf(s.out, "%-20s can't be read: %s\n", i.Name, i.Malformed)
		default:
			state := "ready"
			if i.Entry.Draining {
				state = "draining"
			}
			fmt.Fprintf(s.out, "%-20s %-9s %-22s %-12s %-12s %d\n", i.Name, state, i.Entry.Addr, i.Entry.Zone, i.Entry.Kind, i.ModRevision)
		}
	}
	return nil
}

type putCmd struct {
	Name    string  `arg:""`
	Address string  `arg:"" help:"ip:port."`
	Zone    string  `required:""`
	Kind    string  ``
	Weight  float64 `default:"1"`
}

// change reads an entry, and writes what becomes of it, if nobody else wrote meanwhile.
func (s *site) change(name string, how func(i membership.Item) (registry.Value, error)) error {
	if name == membership.ConfirmKey || strings.ContainsAny(name, "/ ") {
		return &NodeError{strconv.Quote(name), "is no node's name", nil}
	}
	return s.reach(tries, func() error {
		i, err := registry.ReadItem(s.ctx, s.w, name)
		if err != nil {
			return err
		}
		v, err := how(i)
		if err != nil {
			return err
		}
		data, err := v.Encode()
		if err != nil {
			return err
		}
		if err := s.w.Put(s.ctx, name, data, i.ModRevision, ""); err != nil {
			return &NodeError{name, "it could not be written", err}
		}
		fmt.Fprintf(s.out, "%s: %s at %s\n", name, v.State, v.Address)
		return nil
	})
}

func (c putCmd) Run(s *site) error {
	return s.change(c.Name, func(i membership.Item) (registry.Value, error) {
		return registry.Value{Address: c.Address, Zone: c.Zone, Kind: c.Kind, Weight: c.Weight, State: "ready", Started: i.Entry.Started}, nil
	})
}

type drainCmd struct {
	Name string `arg:""`
}

func (c drainCmd) Run(s *site) error {
	return s.change(c.Name, func(i membership.Item) (registry.Value, error) {
		switch e := i.Entry; {
		case i.ModRevision == 0:
			return registry.Value{}, &NodeError{c.Name, "is not in the list", nil}
		case i.Malformed != "":
			return registry.Value{}, &NodeError{c.Name, "can't be read (" + i.Malformed + "): put it first", nil}
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
	return s.reach(tries, func() error {
		i, err := registry.ReadItem(s.ctx, s.w, c.Name)
		switch {
		case err != nil:
			return err
		case i.ModRevision == 0:
			return &NodeError{c.Name, "is not in the list", nil}
		case i.Malformed == "" && !i.Entry.Draining && !c.Now:
			return &NodeError{c.Name, "does not drain: drain it first, or --now", nil}
		}
		if err := s.w.Delete(s.ctx, c.Name, i.ModRevision); err != nil {
			return &NodeError{c.Name, "it could not be removed", err}
		}
		fmt.Fprintf(s.out, "%s: removed\n", c.Name)
		return nil
	})
}

type confirmCmd struct{}

func (confirmCmd) Run(s *site) error {
	return s.reach(tries, func() error {
		if err := s.w.Put(s.ctx, membership.ConfirmKey, []byte(fmt.Sprintf(`{"at":%q}`, time.Now().UTC().Format(time.RFC3339))), registry.AnyRevision, ""); err != nil {
			return err
		}
		fmt.Fprintln(s.out, "confirmed: the proxies let go what is no longer in the list")
		return nil
	})
}
