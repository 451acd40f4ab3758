package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/url"
	"os"
	"os/user"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"marlreel/internal/balancer"
	"marlreel/internal/config"
	"marlreel/internal/fleet"
	"marlreel/internal/fleet/agree"
	"marlreel/internal/fleet/rules"
	"marlreel/internal/simwire"
)

type fleetCmd struct {
	Socket string `env:"MARLREEL_FLEET_SOCKET" help:"The operators' socket of a proxy on this machine; else it is found by --config." placeholder:"PATH"`
	JSON   bool   `name:"json" help:"As the proxy says it."`

	Members  membersCmd  `cmd:"" help:"The proxies: who lives, what each goes by, how long its lease still runs."`
	Versions versionsCmd `cmd:"" help:"The versions of the settings, and which are in force."`
	Propose  proposeCmd  `cmd:"" help:"Put settings to the fleet: a file of the platform's, or its settings alone."`
	Diff     diffCmd     `cmd:"" help:"What differs between two versions, or a version and a file."`
	Rollback rollbackCmd `cmd:"" help:"Propose an earlier version's text."`
	Keepers  keepersCmd  `cmd:"" help:"Take a keeper in, anew after its disk was lost, or let one go."`
	Lists    listsCmd    `cmd:"" help:"Which list each proxy has, and the backends that only some see."`
	Floor    floorCmd    `cmd:"" help:"Say that a list's revisions begin anew, as after a restore."`
}

// fleetSite is a proxy's operators' socket.
type fleetSite struct {
	ctx    context.Context
	out    io.Writer
	path   string
	client *http.Client
}

func openFleet(ctx context.Context, file, socket string, out io.Writer) (*fleetSite, error) {
	if socket == "" {
		if file == "" {
			return nil, &UsageError{"--socket or --config is missing: the operators' socket of a proxy on this machine, or the file with [fleet]"}
		}
		own, err := config.LoadOperator(file)
		if err != nil {
			return nil, err
		}
		if !own.Fleet.On() || own.Fleet.Dir == "" {
			return nil, &UsageError{file + ": fleet.name or fleet.dir is not set: there is no operators' socket"}
		}
		socket = filepath.Join(own.Fleet.Dir, fleet.SocketName)
	}
	dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
		var d net.Dialer
		return d.DialContext(ctx, "unix", socket)
	}
	return &fleetSite{ctx, out, socket, &http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true}}}, nil
}

// call asks the proxy. A refusal comes back as an error that has the proxy's own advice.
func (s *fleetSite) call(method, path string, query url.Values, body []byte, into any) error {
	r, err := http.NewRequestWithContext(s.ctx, method, "http://fleet"+path+"?"+query.Encode(), bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := s.client.Do(r)
	if err != nil {
		return &DoorError{s.path, err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, 16<<20))
	if err != nil {
		return &DoorError{s.path, err}
	}
	if resp.StatusCode != http.StatusOK {
		var reply fleet.Reply
		if json.Unmarshal(data, &reply) != nil || reply.Error == "" {
			return &DoorError{s.path, errors.New(resp.Status)}
		}
		return &ToldError{reply}
	}
	return json.Unmarshal(data, into)
}

func (s *fleetSite) status() (*fleet.Status, error) {
	var st fleet.Status
	err := s.call(http.MethodGet, "/fleet", nil, nil, &st)
	return &st, err
}

func (s *fleetSite) json(v any) error {
	e := json.NewEncoder(s.out)
	e.SetIndent("", " ")
	return e.Encode(v)
}

type membersCmd struct{}

func (membersCmd) Run(s *fleetSite, c *cli) error {
	st, err := s.status()
	if err != nil {
		return err
	}
	var holders []agree.Holder
	lost := s.call(http.MethodGet, "/fleet/holders", nil, nil, &holders)
	if c.Fleet.JSON {
		return s.json(map[string]any{"members": st.Members, "holders": holders, "leader": st.Leader, "keepers": st.View.Keepers})
	}
	leader := st.Leader
	if leader == "" {
		leader = "nobody that is known"
	}
	fmt.Fprintf(s.out, "fleet %s, agreed within %v; %s leads\n", st.Fleet, st.Within, leader)
	fmt.Fprintf(s.out, "%-16s %-8s %-22s %-7s %-8s %-10s %s\n", "proxy", "state", "address", "keeper", "goes by", "lease left", "list")
	newest := st.View.Seq
	for _, m := range st.Members {
		keeper, held, left, list := "", "-", "-", ""
		if slices.ContainsFunc(st.View.Keepers, func(k agree.Seat) bool { return k.Name == m.Name }) {
			keeper = "yes"
		}
		for _, h := range holders {
			if h.Name != m.Name {
				continue
			}
			switch {
			case h.Held == 0:
				held = "strict"
			case h.Held >= newest:
				held = "newest"
			default:
				held = "older"
			}
			left, list = h.Left.Round(10*time.Millisecond).String(), fmt.Sprintf("%s %d, %d nodes", h.Lists.Source, h.Lists.Revision, h.Lists.Count)
		}
		fmt.Fprintf(s.out, "%-16s %-8s %-22s %-7s %-8s %-10s %s\n", m.Name, m.State, m.Address, keeper, held, left, list)
	}
	if lost != nil {
		fmt.Fprintf(s.out, "what each goes by is not known: %v\n", lost)
	}
	return nil
}

type versionsCmd struct{}

func (versionsCmd) Run(s *fleetSite, c *cli) error {
	st, err := s.status()
	if err != nil {
		return err
	}
	if c.Fleet.JSON {
		return s.json(st.View)
	}
	fmt.Fprintf(s.out, "%-8s %-17s %-20s %-24s %s\n", "version", "text", "decided at", "by", "why")
	for _, v := range st.View.Versions {
		mark := ""
		switch {
		case v.Number == st.View.Open && st.View.Opening():
			mark = "  (in force, the next one is being taken)"
		case v.Number == st.View.Open:
			mark = "  (in force)"
		case v.Number > st.View.Open:
			mark = "  (being taken: what it forbids holds, what it allows does not yet)"
		}
		fmt.Fprintf(s.out, "%-8d %-17s %-20s %-24s %s%s\n", v.Number, v.Hash, v.At.Format("2006-01-02 15:04:05"), v.By, v.Why, mark)
	}
	if st.Strict {
		fmt.Fprintln(s.out, "this proxy has no lease: nothing that may have run goes again, until it hears the keepers")
	}
	if st.Differs {
		fmt.Fprintln(s.out, "this proxy's own file says something else: what the fleet agreed on counts")
	}
	return nil
}

// sharedText reads a file of the platform's, or settings alone, and leaves out what is a proxy's own.
func sharedText(path string) (string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return "", &UsageError{err.Error()}
	}
	var object map[string]any
	if err := json.Unmarshal(data, &object); err != nil {
		return "", &UsageError{fmt.Sprintf("%s: %v", path, err)}
	}
	if inner, is := object["settings"].(map[string]any); is {
		object = inner
	}
	delete(object, "Rank")
	delete(object, "Zone")
	text, err := json.Marshal(object)
	return string(text), err
}

type proposeCmd struct {
	File   string `arg:""`
	Why    string `help:"For those who look at it later."`
	On     uint64 `help:"The version that you looked at: if another has been decided on it since, nothing is." placeholder:"VERSION"`
	DryRun bool   `help:"Only let the proxy check it, on the newest version."`
}

func who() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "an operator"
}

func (p proposeCmd) Run(s *fleetSite, c *cli) error {
	text, err := sharedText(p.File)
	if err != nil {
		return err
	}
	if p.DryRun {
		if err := s.call(http.MethodPost, "/fleet/check", nil, []byte(text), &map[string]bool{}); err != nil {
			return err
		}
		fmt.Fprintln(s.out, "it is good")
		return nil
	}
	query := url.Values{"by": {who()}, "why": {p.Why}}
	if p.On != 0 {
		query.Set("base", strconv.FormatUint(p.On, 10))
	}
	var r agree.Result
	if err := s.call(http.MethodPost, "/fleet/propose", query, []byte(text), &r); err != nil {
		return err
	}
	return s.decided(r, c)
}

func (s *fleetSite) decided(r agree.Result, c *cli) error {
	if c.Fleet.JSON {
		return s.json(r)
	}
	if r.Same {
		fmt.Fprintf(s.out, "it is version %d already, by %s\n", r.Version, r.By)
		return nil
	}
	fmt.Fprintf(s.out, "version %d is decided: what it forbids counts as each proxy hears of it, what it allows when all have\n", r.Version)
	return nil
}

type diffCmd struct {
	A string `arg:"" help:"A version's number, or a file."`
	B string `arg:"" help:"The same."`
}

func (d diffCmd) Run(s *fleetSite) error {
	st, err := s.status()
	if err != nil {
		return err
	}
	var read []balancer.Config
	flat := func(what string) (map[string]string, error) {
		text := ""
		if n, err := strconv.ParseUint(what, 10, 64); err == nil {
			v, there := st.View.Get(n)
			if !there || v.Text == "" {
				return nil, &fleet.NoVersionError{Version: n}
			}
			text = v.Text
		} else if text, err = sharedText(what); err != nil {
			return nil, err
		}
		var tree any
		if err := json.Unmarshal([]byte(text), &tree); err != nil {
			return nil, err
		}
		if c, err := simwire.ParseSettings([]byte(text)); err == nil {
			read = append(read, c)
		}
		all := map[string]string{}
		flatten("", tree, all)
		return all, nil
	}
	a, err := flat(d.A)
	if err != nil {
		return err
	}
	b, err := flat(d.B)
	if err != nil {
		return err
	}
	keys := maps.Clone(a)
	maps.Copy(keys, b)
	same := true
	for _, k := range slices.Sorted(maps.Keys(keys)) {
		x, inA := a[k]
		y, inB := b[k]
		switch {
		case x == y && inA == inB:
			continue
		case !inA:
			fmt.Fprintf(s.out, "+ %s = %s\n", k, y)
		case !inB:
			fmt.Fprintf(s.out, "- %s = %s\n", k, x)
		default:
			fmt.Fprintf(s.out, "  %s: %s, then %s\n", k, x, y)
		}
		same = false
	}
	if same {
		fmt.Fprintln(s.out, "they say the same")
	}
	if len(read) == 2 {
		if why := rules.Contradiction(read[0], read[1]); why != "" {
			fmt.Fprintf(s.out, "they contradict each other (%s): while one takes the other's place, only what both allow is done\n", why)
		}
	}
	return nil
}

// flatten gives each value its path. Objects in lists go by their Name, where they have one.
func flatten(path string, v any, into map[string]string) {
	switch v := v.(type) {
	case map[string]any:
		for k, x := range v {
			flatten(strings.TrimPrefix(path+"."+k, "."), x, into)
		}
	case []any:
		for i, x := range v {
			name := strconv.Itoa(i)
			if o, is := x.(map[string]any); is {
				if n, is := o["Name"].(string); is {
					name = n
				}
			}
			flatten(path+"["+name+"]", x, into)
		}
	default:
		into[path] = fmt.Sprint(v)
	}
}

type rollbackCmd struct {
	Version uint64 `arg:""`
}

func (b rollbackCmd) Run(s *fleetSite, c *cli) error {
	var r agree.Result
	if err := s.call(http.MethodPost, "/fleet/rollback", url.Values{"by": {who()}, "version": {strconv.FormatUint(b.Version, 10)}}, nil, &r); err != nil {
		return err
	}
	return s.decided(r, c)
}

type keepersCmd struct {
	Add    keeperAddCmd    `cmd:"" help:"Take a proxy in as a keeper; one of that name leaves its seat in the same step."`
	Remove keeperRemoveCmd `cmd:"" help:"Let a keeper go."`
}

type keeperAddCmd struct {
	Name string `arg:""`
}

type keeperRemoveCmd struct {
	Name string `arg:""`
}

func (k keeperAddCmd) Run(s *fleetSite) error    { return s.seat(k.Name, true) }
func (k keeperRemoveCmd) Run(s *fleetSite) error { return s.seat(k.Name, false) }

func (s *fleetSite) seat(name string, add bool) error {
	var r agree.Result
	if err := s.call(http.MethodPost, "/fleet/keepers", url.Values{"name": {name}, "add": {strconv.FormatBool(add)}}, nil, &r); err != nil {
		return err
	}
	if add {
		fmt.Fprintf(s.out, "%s is a keeper\n", name)
	} else {
		fmt.Fprintf(s.out, "%s is no keeper any more\n", name)
	}
	return nil
}

type listsCmd struct{}

func (listsCmd) Run(s *fleetSite, c *cli) error {
	var sight fleet.Sight
	if err := s.call(http.MethodGet, "/fleet/lists", nil, nil, &sight); err != nil {
		return err
	}
	if c.Fleet.JSON {
		return s.json(sight)
	}
	fmt.Fprintf(s.out, "%-16s %-10s %-10s %s\n", "proxy", "source", "revision", "ready nodes")
	for _, p := range sight.Proxies {
		fmt.Fprintf(s.out, "%-16s %-10s %-10d %d\n", p.Proxy, p.Source, p.Revision, p.Ready)
	}
	for _, name := range sight.Silent {
		fmt.Fprintf(s.out, "%-16s did not answer\n", name)
	}
	for _, p := range sight.Partly {
		fmt.Fprintf(s.out, "%s is seen by %s, and not by %s\n", p.Name, strings.Join(p.SeenBy, ", "), strings.Join(p.Not, ", "))
	}
	if len(sight.Partly) == 0 {
		fmt.Fprintln(s.out, "all that answered see the same nodes")
	}
	return nil
}

type floorCmd struct {
	Reset floorResetCmd `cmd:"" help:"A source's revisions begin anew: its floor and what was told of it are forgotten."`
}

type floorResetCmd struct {
	Source string `arg:"" help:"platform, or registry."`
}

func (f floorResetCmd) Run(s *fleetSite) error {
	if err := s.call(http.MethodPost, "/fleet/floor", url.Values{"source": {f.Source}}, nil, &map[string]bool{}); err != nil {
		return err
	}
	fmt.Fprintf(s.out, "asked: the floor of %s begins anew\n", f.Source)
	return nil
}

// DoorError is a proxy that can't be asked.
type DoorError struct {
	At  string
	Err error
}

func (e *DoorError) Error() string {
	return "the proxy at " + e.At + " can't be asked: " + e.Err.Error()
}
func (e *DoorError) Unwrap() error { return e.Err }

// Advice says what an operator can do.
func (e *DoorError) Advice() string {
	return "see whether the proxy runs, and whether the address or path is the one in its configuration (control, fleet.dir)"
}

// ToldError is what a proxy answered in place of doing it.
type ToldError struct{ Reply fleet.Reply }

func (e *ToldError) Error() string { return e.Reply.Error }

// Advice says what an operator can do.
func (e *ToldError) Advice() string { return e.Reply.Advice }

// UsageError is a call that can't be carried out as it is.
type UsageError struct{ Reason string }

func (e *UsageError) Error() string { return e.Reason }

// Advice says what an operator can do.
func (e *UsageError) Advice() string { return "marlreelctl -h says more" }

// NodeError is a node of the list with which something can't be done.
type NodeError struct {
	Name, Reason string
	Err          error
}

func (e *NodeError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("%s: %v", e.Name, e.Err)
	}
	return e.Name + " " + e.Reason
}
func (e *NodeError) Unwrap() error { return e.Err }

// Advice says what an operator can do.
func (e *NodeError) Advice() string {
	return "look at the node with 'marlreelctl nodes list', and try again"
}
