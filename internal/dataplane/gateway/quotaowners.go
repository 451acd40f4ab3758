package gateway

import (
	"time"

	vm "github.com/VictoriaMetrics/metrics"

	"marlreel/internal/controlplane/configuration"
	"marlreel/internal/dataplane/quotaclient"
	"marlreel/internal/distribution/watch"
	"marlreel/internal/process/host"
)

// ownerGate is the QuotaGate that asks the owners of the quotas.
type ownerGate struct{ client *quotaclient.Client }

var _ QuotaGate = ownerGate{}

// newOwnerGate returns the gate of the proxy on a machine. The state names the owners.
func newOwnerGate(machine *host.Host, state *watch.Store, metrics *vm.Set) ownerGate {
	return ownerGate{quotaclient.New(quotaclient.Config{
		Store: state, Dial: machine.Network.Dial,
		OwnAgent: machine.Settings.PeerAddress(), OwnAgentLoopback: machine.Settings.AgentLoopback(), Metrics: metrics,
	})}
}

// Acquire implements QuotaGate.
func (g ownerGate) Acquire(subscriber *configuration.Subscriber, cost float64, deadline time.Time) QuotaDecision {
	decision := g.client.Acquire(subscriber.Name, cost, deadline)
	verdict := QuotaUnknown
	switch decision.Verdict {
	case quotaclient.Granted:
		verdict = QuotaAllowed
	case quotaclient.Exceeded:
		verdict = QuotaExceeded
	case quotaclient.Unknown:
	}
	return QuotaDecision{Verdict: verdict, RetryAfter: decision.RetryAfter, Cost: cost, At: decision.At, Grant: decision.Grant}
}

// Refund implements QuotaGate.
func (g ownerGate) Refund(_ *configuration.Subscriber, decision QuotaDecision) {
	g.client.Refund(quotaclient.Decision{Grant: decision.Grant, At: decision.At})
}
