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
	"marlreel/internal/process/timing"
)

const (
	// relayWait is how long a relay may hold a poll that has no update, and controlWait control. Raising them leaves a
	// source that hangs later, lowering them costs polls. A relay that hangs is left for control soon.
	relayWait   = 800 * time.Millisecond
	controlWait = 1200 * time.Millisecond
	// replanInterval is the least time between two choices of the relays. Raising it keeps polling relays that have gone,
	// lowering it costs the processor while many nodes come and go.
	replanInterval = 100 * time.Millisecond
)

// subscriptions runs one subscriber of the watch for each source. It belongs to the goroutine of run.
type subscriptions struct {
	agent       *Agent
	running     map[string]context.CancelFunc // by subscriptionKey
	subscribers sync.WaitGroup

	// What the plan in force was made from.
	topics        watch.Topics // nil: there is no plan yet
	nodesRevision uint64       // of the store
}

func newSubscriptions(a *Agent) *subscriptions {
	return &subscriptions{agent: a, running: map[string]context.CancelFunc{}}
}

// run keeps the subscribers as the plan has them, until ctx ends and all have ended.
func (s *subscriptions) run(ctx context.Context) {
	defer s.subscribers.Wait()
	for ctx.Err() == nil {
		changed := s.agent.store.Changed()
		s.adjust(ctx)
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
		timing.Sleep(ctx, replanInterval)
	}
}

// neededTopics returns what this agent has to watch: the state, and the backends of all services.
func (s *subscriptions) neededTopics() watch.Topics {
	topics := watch.Topics{watch.TopicState}
	s.agent.store.ReadState(func(m *state.Machine) {
		document := m.Document()
		if document == nil {
			return
		}
		for i := range document.Services {
			topics = append(topics, watch.ServiceTopic(document.Services[i].Name))
		}
	})
	return topics
}

func subscriptionKey(subscription relay.Subscription) string {
	return subscription.Relay + " " + subscription.Fallback + " " + strings.Join(subscription.Topics, " ")
}

// adjust stops the subscribers that are not in the plan and starts those that are missing, where that may have changed.
func (s *subscriptions) adjust(ctx context.Context) {
	topics, revision := s.neededTopics(), s.agent.store.Revision()
	defer s.agent.store.RetainTopics(topics)
	if slices.Equal(topics, s.topics) && !s.agent.store.NodesChangedSince(s.nodesRevision) {
		return
	}
	s.topics, s.nodesRevision = topics, revision
	desired := map[string]relay.Subscription{}
	for _, subscription := range relay.Plan(s.agent.node, s.agent.store.Nodes(), topics) {
		desired[subscriptionKey(subscription)] = subscription
	}
	for key, cancel := range s.running {
		if _, still := desired[key]; !still {
			cancel()
			delete(s.running, key)
		}
	}
	for key, subscription := range desired {
		if s.running[key] != nil {
			continue
		}
		subscriberCtx, cancel := context.WithCancel(ctx)
		s.running[key] = cancel
		s.subscribers.Go(func() { s.subscribe(subscriberCtx, subscription) })
	}
}

// subscribe watches one source until ctx ends. Where a relay does not answer, its own relay does, and then control.
func (s *subscriptions) subscribe(ctx context.Context, subscription relay.Subscription) {
	a := s.agent
	relays := relaysOf(subscription)
	cfg := watch.SubscriberConfig{
		Name: a.settings.NodeName, Topics: subscription.Topics, MaxWait: controlWait, Log: a.log, Sources: a.controls,
		Connect: func(address string) watch.Source {
			if slices.Contains(relays, address) {
				return api.NewAgentProtobufClient("http://"+address, a.client)
			}
			return api.NewControlProtobufClient("http://"+address, a.client)
		},
	}
	if len(relays) > 0 {
		cfg.MaxWait = relayWait
		cfg.Sources = func() []string { return slices.Concat(relays, a.controls()) }
	}
	watch.RunSubscriber(ctx, a.store, cfg)
}

// relaysOf returns the addresses of the agents at which topics may be watched, the preferred one first.
func relaysOf(subscription relay.Subscription) []string {
	relays := []string{subscription.Relay, subscription.Fallback}
	return slices.DeleteFunc(relays, func(address string) bool { return address == "" })
}
