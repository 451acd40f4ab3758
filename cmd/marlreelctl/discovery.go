package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"marlreel/internal/discovery/membership"
)

// maxReplyBytes bounds the size of a proxy's answer.
const maxReplyBytes = 16 << 20

type discoveryCmd struct {
	Control string `required:"" env:"NODE_CONTROL" help:"Where the proxy's door is." placeholder:"ADDRESS"`
	JSON    bool   `name:"json" help:"As the proxy says it."`
}

func (d discoveryCmd) Run(s *site) error {
	body, err := d.fetch(s)
	if err != nil {
		return err
	}
	if d.JSON {
		_, err = s.out.Write(body)
		return err
	}
	var status membership.Status
	if err := json.Unmarshal(body, &status); err != nil {
		return &UnreachableProxyError{d.Control, err}
	}
	printDiscovery(s.out, &status)
	return nil
}

// fetch asks a proxy at its control address for the status of its lists.
func (d discoveryCmd) fetch(s *site) ([]byte, error) {
	r, err := http.NewRequestWithContext(s.ctx, http.MethodGet, "http://"+d.Control+"/control/discovery", nil)
	if err != nil {
		return nil, err
	}
	r.Close = true
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, &UnreachableProxyError{d.Control, err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, &UnreachableProxyError{d.Control, errors.New(strings.TrimSpace(string(body)))}
	}
	return body, nil
}

func printDiscovery(out io.Writer, status *membership.Status) {
	source, age := status.Source, "not known"
	if source == "" {
		source = "an old list"
	}
	if status.Age >= 0 {
		age = status.Age.Round(time.Millisecond).String()
	}
	fmt.Fprintf(out, "%s, revision %d: %d entries; up to date as of %s ago\n", source, status.Revision, status.Entries, age)
	for _, one := range status.Sources {
		printSource(out, one)
	}
	if len(status.Retained) > 0 {
		fmt.Fprintf(out, "held, for most of the list went at once (marlreelctl nodes confirm lets them go): %s\n", strings.Join(status.Retained, ", "))
	}
	if len(status.Damped) > 0 {
		fmt.Fprintf(out, "out, for they come and go: %s\n", strings.Join(status.Damped, ", "))
	}
}

func printSource(out io.Writer, source membership.SourceStatus) {
	state := "well"
	switch {
	case source.Unreachable:
		state = "lost: " + source.LossReason
	case !source.Synced:
		state = "its whole list is on its way, or was never told"
	}
	fmt.Fprintf(out, "  %-10s revision %-8d %s\n", source.Name, source.Revision, state)
	for _, name := range slices.Sorted(maps.Keys(source.Malformed)) {
		fmt.Fprintf(out, "    %s can't be read: %s\n", name, source.Malformed[name])
	}
}
