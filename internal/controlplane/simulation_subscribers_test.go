package controlplane

import (
	"fmt"
	"strings"

	"marlreel/internal/api"
	"marlreel/internal/controlplane/configuration"
	"marlreel/internal/controlplane/result"
	"marlreel/internal/controlplane/state"
)

// simulatedWrite is a change of the configuration, and what it leads to.
type simulatedWrite struct {
	operation *api.Operation
	text      string // the configuration that it leads to
	invalid   bool   // it gives a tenant another one's key, so it must be refused
}

// writesPerRound is how many kinds of changes operators make in turn.
const writesPerRound = 8

// nextWrite is the change of a number on top of the newest state: whole configurations, and changes of tenants and keys.
func nextWrite(s *newestState, number int) simulatedWrite {
	mark := fmt.Sprintf("w%d", number)
	kind := number % writesPerRound
	if s.version == 0 || kind == 0 {
		text := simulatedDocument(s.version+1, mark)
		return simulatedWrite{operation: replaceOperation(s.version, []byte(text)), text: text}
	}
	document, err := configuration.Parse([]byte(s.text))
	if err != nil {
		panic(err) // what was read is what operators wrote
	}
	if kind == writesPerRound-1 {
		change := fmt.Sprintf(`{"config_version":%d,"upsert":{"subscribers":[{"name":"thief","access_keys":["%s","key of north"]}]}}`, s.version+1, mark)
		return simulatedWrite{operation: modifyOperation(s.version, []byte(change)), invalid: true}
	}
	change := changeOfSubscribers(s.version+1, kind, mark)
	next, err := document.Modify([]byte(change))
	if err != nil {
		panic(err)
	}
	return simulatedWrite{operation: modifyOperation(s.version, []byte(change)), text: string(next.Raw())}
}

// changeOfSubscribers rotates a key, adds a tenant, takes a tenant's last key, or removes one. The tenant north keeps
// its key all the time.
func changeOfSubscribers(version uint64, kind int, mark string) string {
	body := ""
	switch kind % 4 {
	case 0:
		body = fmt.Sprintf(`"upsert":{"subscribers":[{"name":"south","access_keys":["south %s"],"rate_per_s":5}]}`, mark)
	case 1:
		body = fmt.Sprintf(`"upsert":{"subscribers":[{"name":"tenant %s","access_keys":["%s"]}]}`, mark, mark)
	case 2:
		body = `"upsert":{"subscribers":[{"name":"south","access_keys":[]}]}`
	default:
		body = `"remove":{"subscribers":["south"]}`
	}
	return fmt.Sprintf(`{"config_version":%d,%s}`, version, body)
}

// checkRefusal checks the answer to a change that is invalid: it is refused as such, or for what it builds on.
func (cl *simulatedOperators) checkRefusal(outcome *result.Error) {
	if outcome == nil {
		return // there was no clear answer
	}
	if outcome.Code != result.SharedKey && outcome.Code != result.VersionConflict {
		cl.sim.failf("a key of two tenants was answered with %v", outcome)
	}
	if strings.Contains(outcome.Detail, "key of north") {
		cl.sim.failf("a key was given away: %v", outcome)
	}
	if outcome.Code == result.SharedKey {
		cl.sim.coverage["a shared key was refused"]++
	}
}

// auditSubscribers checks that all agents and control processes that have the same version find the same tenants: those
// of the document as it is read.
func (sim *simulation) auditSubscribers() {
	texts := map[uint64]string{}
	check := func(who string, m *state.Machine) {
		document := m.Document()
		if document == nil {
			return
		}
		text := string(document.Raw())
		if first, known := texts[m.Version()]; known && first != text {
			sim.failf("%s has another configuration of version %d: %s and %s", who, m.Version(), text, first)
		}
		texts[m.Version()] = text
		read, err := configuration.Parse([]byte(text))
		if err != nil {
			sim.failf("%s has a configuration that is invalid: %v", who, err)
			return
		}
		sim.compareTenants(who, document, read)
	}
	for _, a := range sim.agents {
		a.feed.ReadState(func(m *state.Machine) { check(a.node.Name, m) })
	}
	for _, c := range sim.live() {
		check(c.address, c.replica.Machine())
	}
}

// compareTenants checks that keys find the tenants that they find in the document as it is read.
func (sim *simulation) compareTenants(who string, document, read *configuration.Document) {
	if len(document.Subscribers) != len(read.Subscribers) || document.RequiresKeys() != read.RequiresKeys() {
		sim.failf("%s has %d tenants, and its document %d", who, len(document.Subscribers), len(read.Subscribers))
	}
	for i := range read.Subscribers {
		subscriber := &read.Subscribers[i]
		for _, key := range subscriber.AccessKeys {
			found := document.SubscriberByKey(key)
			if found == nil || found.Name != subscriber.Name {
				sim.failf("%s finds %v by a key of %v", who, found, subscriber)
			}
		}
	}
}
