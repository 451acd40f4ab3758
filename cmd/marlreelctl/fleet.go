package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
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

	"marlreel/internal/config"
	"marlreel/internal/fleet"
	"marlreel/internal/fleet/agree"
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

// fleetSite holds a client of a proxy's operators' socket, and the command's output.
type fleetSite struct {
	ctx    context.Context
	out    io.Writer
	path   string
	client *http.Client
}

func openFleet(ctx context.Context, file, socket string, out io.Writer) (*fleetSite, error) {
	if socket == "" {
		if file == "" {
			return nil, &UsageError{"--socket or --config is missing: give the operators' socket of a proxy on this machine, or the configuration file with [fleet]"}
		}
		operator, err := config.LoadOperator(file)
		if err != nil {
			return nil, err
		}
		if !operator.Fleet.On() || operator.Fleet.Dir == "" {
			return nil, &UsageError{file + ": fleet.name or fleet.dir is not set: there is no operators' socket"}
		}
		socket = filepath.Join(operator.Fleet.Dir, fleet.SocketName)
	}
	dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
		var d net.Dialer
		return d.DialContext(ctx, "unix", socket)
	}
	return &fleetSite{ctx, out, socket, &http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true}}}, nil
}

// call sends the proxy a request and decodes its answer. It returns an *UnreachableProxyError if there is no usable
// answer, and a *RejectedError, with the proxy's own advice, if the proxy rejects the request.
func (s *fleetSite) call(method, path string, query url.Values, body []byte, into any) error {
	r, err := http.NewRequestWithContext(s.ctx, method, "http://fleet"+path+"?"+query.Encode(), bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := s.client.Do(r)
	if err != nil {
		return &UnreachableProxyError{s.path, err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return &UnreachableProxyError{s.path, err}
	}
	if resp.StatusCode != http.StatusOK {
		var reply fleet.ErrorReply
		if json.Unmarshal(data, &reply) != nil || reply.Error == "" {
			return &UnreachableProxyError{s.path, errors.New(resp.Status)}
		}
		return &RejectedError{reply}
	}
	return json.Unmarshal(data, into)
}

func (s *fleetSite) status() (*fleet.Status, error) {
	var st fleet.Status
	err := s.call(http.MethodGet, "/fleet", nil, nil, &st)
	return &st, err
}

func (s *fleetSite) printJSON(v any) error {
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
	holdersErr := s.call(http.MethodGet, "/fleet/holders", nil, nil, &holders)
	if c.Fleet.JSON {
		return s.printJSON(map[string]any{"members": st.Members, "holders": holders, "leader": st.Leader, "keepers": st.State.Keepers})
	}
	leader := st.Leader
	if leader == "" {
		leader = "nobody that is known"
	}
	fmt.Fprintf(s.out, "fleet %s, agreed within %v; %s leads\n", st.Fleet, st.AgreeWithin, leader)
	fmt.Fprintf(s.out, "%-16s %-8s %-22s %-7s %-8s %-10s %s\n", "proxy", "state", "address", "keeper", "goes by", "lease left", "list")
	for _, m := range st.Members {
		isKeeper := ""
		if slices.ContainsFunc(st.State.Keepers, func(k agree.Seat) bool { return k.Name == m.Name }) {
			isKeeper = "yes"
		}
		version, leaseLeft, list := "-", "-", ""
		for _, h := range holders {
			if h.Name == m.Name {
				version = versionInForce(h, st.State.Seq)
				leaseLeft = h.Left.Round(10 * time.Millisecond).String()
				list = fmt.Sprintf("%s %d, %d nodes", h.Lists.Source, h.Lists.Revision, h.Lists.Count)
			}
		}
		fmt.Fprintf(s.out, "%-16s %-8s %-22s %-7s %-8s %-10s %s\n", m.Name, m.State, m.Address, isKeeper, version, leaseLeft, list)
	}
	if holdersErr != nil {
		fmt.Fprintf(s.out, "what each goes by is not known: %v\n", holdersErr)
	}
	return nil
}

// versionInForce returns whether a proxy uses the newest state that the fleet agreed on, an older one, or none, in which
// case strict rules apply.
func versionInForce(h agree.Holder, newest uint64) string {
	switch {
	case h.Held == 0:
		return "strict"
	case h.Held >= newest:
		return "newest"
	default:
		return "older"
	}
}

type versionsCmd struct{}

func (versionsCmd) Run(s *fleetSite, c *cli) error {
	st, err := s.status()
	if err != nil {
		return err
	}
	if c.Fleet.JSON {
		return s.printJSON(st.State)
	}
	fmt.Fprintf(s.out, "%-8s %-17s %-20s %-24s %s\n", "version", "text", "decided at", "by", "why")
	for _, v := range st.State.Versions {
		status := ""
		switch {
		case v.Number == st.State.Open && st.State.Opening():
			status = "  (in force, the next one is being taken)"
		case v.Number == st.State.Open:
			status = "  (in force)"
		case v.Number > st.State.Open:
			status = "  (being taken: what it forbids holds, what it allows does not yet)"
		}
		fmt.Fprintf(s.out, "%-8d %-17s %-20s %-24s %s%s\n", v.Number, v.Hash, v.At.Format("2006-01-02 15:04:05"), v.By, v.Why, status)
	}
	if st.LeaseExpired {
		fmt.Fprintln(s.out, "this proxy has no lease: nothing that may have run goes again, until it hears the keepers")
	}
	if st.FileDiffers {
		fmt.Fprintln(s.out, "this proxy's own file says something else: what the fleet agreed on counts")
	}
	return nil
}

// sharedText reads a file of the platform's, or the settings alone, and removes the settings that each proxy has for itself.
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

// currentUser returns the name under which changes are proposed.
func currentUser() string {
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
	query := url.Values{"by": {currentUser()}, "why": {p.Why}}
	if p.On != 0 {
		query.Set("base", strconv.FormatUint(p.On, 10))
	}
	var r agree.Result
	if err := s.call(http.MethodPost, "/fleet/propose", query, []byte(text), &r); err != nil {
		return err
	}
	return s.printDecision(r, c)
}

// printDecision prints the outcome of a proposal.
func (s *fleetSite) printDecision(r agree.Result, c *cli) error {
	if c.Fleet.JSON {
		return s.printJSON(r)
	}
	if r.Same {
		fmt.Fprintf(s.out, "it is version %d already, by %s\n", r.Version, r.By)
		return nil
	}
	fmt.Fprintf(s.out, "version %d is decided: what it forbids counts as each proxy hears of it, what it allows when all have\n", r.Version)
	return nil
}

type rollbackCmd struct {
	Version uint64 `arg:""`
}

func (b rollbackCmd) Run(s *fleetSite, c *cli) error {
	var r agree.Result
	if err := s.call(http.MethodPost, "/fleet/rollback", url.Values{"by": {currentUser()}, "version": {strconv.FormatUint(b.Version, 10)}}, nil, &r); err != nil {
		return err
	}
	return s.printDecision(r, c)
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

func (k keeperAddCmd) Run(s *fleetSite) error    { return s.changeKeeper(k.Name, true) }
func (k keeperRemoveCmd) Run(s *fleetSite) error { return s.changeKeeper(k.Name, false) }

func (s *fleetSite) changeKeeper(name string, add bool) error {
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
	var visibility fleet.MembershipComparison
	if err := s.call(http.MethodGet, "/fleet/lists", nil, nil, &visibility); err != nil {
		return err
	}
	if c.Fleet.JSON {
		return s.printJSON(visibility)
	}
	fmt.Fprintf(s.out, "%-16s %-10s %-10s %s\n", "proxy", "source", "revision", "ready nodes")
	for _, p := range visibility.Proxies {
		fmt.Fprintf(s.out, "%-16s %-10s %-10d %d\n", p.Proxy, p.Source, p.Revision, p.Ready)
	}
	for _, name := range visibility.Unresponsive {
		fmt.Fprintf(s.out, "%-16s did not answer\n", name)
	}
	for _, p := range visibility.Partial {
		fmt.Fprintf(s.out, "%s is seen by %s, and not by %s\n", p.Name, strings.Join(p.ReadyAt, ", "), strings.Join(p.NotReadyAt, ", "))
	}
	if len(visibility.Partial) == 0 {
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
