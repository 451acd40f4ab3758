package agent

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"marlreel/internal/api"
	"marlreel/internal/controlplane/state"
	"marlreel/internal/distribution/relay"
	"marlreel/internal/distribution/watch"
)

const (
	// homeWait is how long a home may let a subscriber wait where there is no news. A home
	// that hangs is left for control a little later.
	homeWait = 800 * time.Millisecond
	// controlWait is the same for control.
	controlWait = 1200 * time.Millisecond
	// replanAfter is the least time between two looks at who the homes are.
	replanAfter = 100 * time.Millisecond
)

// subscriptions keeps one reader of the feed for each source that this agent reads from.
type subscriptions struct {
	agent   *Agent
	self    *api.Node
	running map[string]context.CancelFunc // by what is read from where
	readers sync.WaitGroup
}

func newSubscriptions(a *Agent, self *api.Node) *subscriptions {
	return &subscriptions{agent: a, self: self, running: map[string]context.CancelFunc{}}
}

// run follows the feed, and who the homes are, until ctx ends.
func (s *subscriptions) run(ctx context.Context) {
	defer s.readers.Wait()
	for ctx.Err() == nil {
		changed := s.agent.feed.Changed()
		s.adjust(ctx)
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
		rest(ctx, replanAfter)
	}
}

// topics are what this agent has to know: the state, and the backends of all services.
func (s *subscriptions) topics() watch.Topics {
	topics := watch.Topics{watch.TopicState}
	s.agent.feed.ReadState(func(m *state.Machine) {
		if document := m.Document(); document != nil {
			for i := range document.Services {
				topics = append(topics, watch.ServiceTopic(document.Services[i].Name))
			}
		}
	})
	return topics
}

// adjust starts the readers that are missing and ends those that are not wanted any more.
func (s *subscriptions) adjust(ctx context.Context) {
	topics := s.topics()
	wanted := map[string]relay.Subscription{}
	for _, subscription := range relay.Plan(s.self, s.agent.feed.Nodes(), topics) {
		wanted[subscription.Relay+" "+strings.Join(subscription.Topics, " ")] = subscription
	}
	for key, cancel := range s.running {
		if _, still := wanted[key]; !still {
			cancel()
			delete(s.running, key)
		}
	}
	for key, subscription := range wanted {
		if s.running[key] != nil {
			continue
		}
		reading, cancel := context.WithCancel(ctx)
		s.running[key] = cancel
		s.readers.Go(func() { s.read(reading, subscription) })
	}
	s.agent.feed.RetainTopics(topics)
}

// read follows one source until ctx ends. Where a home does not answer, control does.
func (s *subscriptions) read(ctx context.Context, subscription relay.Subscription) {
	a := s.agent
	cfg := watch.SubscriberConfig{
		Name: a.settings.NodeName, Topics: subscription.Topics, MaxWait: controlWait, Log: a.log, Sources: a.controls,
		Connect: func(address string) watch.Source {
			if address == subscription.Relay {
				return api.NewAgentProtobufClient("http://"+address, a.client)
			}
			return api.NewControlProtobufClient("http://"+address, a.client)
		},
	}
	if subscription.Relay != "" {
		cfg.MaxWait = homeWait
		cfg.Sources = func() []string { return slices.Concat([]string{subscription.Relay}, a.controls()) }
	}
	watch.RunSubscriber(ctx, a.feed, cfg)
}

// rest waits for a span, or until ctx ends.
func rest(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
