// Package agent is the process beside each proxy that keeps the link to control: it
// follows the feed, renews the node's lease by doing so, and serves what it knows to
// its proxy and to other agents.
package agent

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"
	"go.uber.org/multierr"

	"marlreel/internal/system/api"
	"marlreel/internal/system/boot"
	"marlreel/internal/system/feed"
	"marlreel/internal/system/transport"
)

const (
	// watchWait is how long control may let the agent wait where there is no news: so
	// often the node's lease is renewed.
	watchWait = 700 * time.Millisecond
	// longestWatch bounds how long a reader is kept waiting.
	longestWatch = 10 * time.Second
	// shutdownPatience is how long calls in hand may take when the process ends.
	shutdownPatience = 500 * time.Millisecond
)

// Agent serves what it has been told.
type Agent struct {
	feed *feed.Store
}

// Watch implements api.Agent.
func (a *Agent) Watch(ctx context.Context, request *api.WatchRequest) (*api.Feed, error) {
	wait := min(longestWatch, time.Duration(request.WaitMs)*time.Millisecond)
	return a.feed.Wait(ctx, request, wait), nil
}

// ReportDemand implements api.Agent.
func (a *Agent) ReportDemand(context.Context, *api.DemandReport) (*api.Empty, error) {
	return &api.Empty{}, nil
}

// Run is an agent until ctx ends.
func Run(ctx context.Context, settings *boot.Settings, log logr.Logger) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	incarnation := rand.Uint64()
	store := feed.New(fmt.Sprintf("%s/%x", settings.NodeName, incarnation), time.Now)
	server := transport.NewServer(nil, api.NewAgentServer(&Agent{feed: store}))
	failures := make(chan error, 2)
	for _, address := range []string{settings.PeerAddress(), settings.AgentLoopback()} {
		listener, err := net.Listen("tcp4", address)
		if err != nil {
			return eris.Wrapf(err, "listening at %s", address)
		}
		go func() { failures <- server.Serve(listener) }()
	}
	client := transport.NewClient(transport.DialTCP)
	node := &api.Node{Name: settings.NodeName, Address: settings.PeerAddress(), Zone: settings.Zone, Incarnation: incarnation}
	var loops sync.WaitGroup
	loops.Go(func() {
		feed.Follow(ctx, store, feed.FollowConfig{Node: node, WaitTime: watchWait, Log: log,
			Targets: func() []string { return controlsOf(settings, store.Controls()) },
			Connect: func(address string) feed.Watcher { return api.NewControlProtobufClient("http://"+address, client) }})
	})
	log.Info("agent serves", "event", "start", "peer", settings.PeerAddress())
	var failed error
	select {
	case <-ctx.Done():
	case failed = <-failures:
	}
	cancel()
	loops.Wait()
	patience, stop := context.WithTimeout(context.Background(), shutdownPatience)
	defer stop()
	return multierr.Append(failed, server.ShutdownWithContext(patience))
}

// controlsOf are the control processes to ask: those that the feed names and those of the
// settings, each node in an order of its own, so that they share the load.
func controlsOf(settings *boot.Settings, known []string) []string {
	all := slices.Concat(known, settings.SeedPeers())
	slices.Sort(all)
	all = slices.Compact(all)
	rank := func(address string) uint32 {
		hash := fnv.New32a()
		io.WriteString(hash, settings.NodeName+" "+address)
		return hash.Sum32()
	}
	slices.SortStableFunc(all, func(a, b string) int {
		if x, y := rank(a), rank(b); x < y {
			return -1
		} else if x > y {
			return 1
		}
		return 0
	})
	return all
}
