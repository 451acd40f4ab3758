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
	// relayWait and controlWait are how long a relay and control may keep a poll without an update open. Raising them
	// delays the change away from an unresponsive source; lowering them costs more polls. relayWait is shorter, so that an
	// unresponsive relay is soon replaced by control.
	relayWait   = 800 * time.Millisecond
	controlWait = 1200 * time.Millisecond
	// replanInterval is the least time between two selections of the relays. Raising it keeps subscribers polling relays
	// that have left; lowering it costs CPU time while many nodes join and leave.
	replanInterval = 100 * time.Millisecond
)

// subscriptions runs one subscriber of the watch for each source. Only the goroutine of run uses it.
type subscriptions struct {
	agent       *Agent
	running     map[string]context.CancelFunc // by subscriptionKey
	subscribers sync.WaitGroup

	// Inputs of the current plan.
	topics        watch.Topics // nil: no plan yet
	nodesRevision uint64       // revision of the store
}

func newSubscriptions(a *Agent) *subscriptions {
	return &subscriptions{agent: a, running: map[string]context.CancelFunc{}}
}

// run keeps the subscribers in line with the plan. It returns when ctx has ended and all subscribers have stopped.
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

// neededTopics returns the topics that this agent must watch: the state, and the backends of each service.
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

// adjust makes a new plan if its inputs have changed, stops the subscribers that are not in it and starts the missing
// ones.
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

// subscribe watches one source until ctx ends. If a relay does not reply, the subscriber falls back to the relay's own
// relay, and then to control.
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

// relaysOf returns the addresses of the relays at which a subscription's topics can be watched, the preferred one first.
func relaysOf(subscription relay.Subscription) []string {
	relays := []string{subscription.Relay, subscription.Fallback}
	return slices.DeleteFunc(relays, func(address string) bool { return address == "" })
}
