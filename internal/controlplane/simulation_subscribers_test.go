package controlplane

import (
	"fmt"
	"strings"

	"marlreel/internal/api"
	"marlreel/internal/controlplane/configuration"
	"marlreel/internal/controlplane/result"
	"marlreel/internal/controlplane/state"
)

// simulatedWrite is a change of the configuration and its expected result.
type simulatedWrite struct {
	operation *api.Operation
	text      string // the resulting configuration
	invalid   bool   // it gives a tenant a key of another one, so it must be rejected
}

// writesPerRound is the number of kinds of changes that operators make in turn.
const writesPerRound = 8

// nextWrite returns a change of the newest state, the kind of which follows from its number: a whole configuration, or a
// change of tenants and keys.
func nextWrite(s *newestState, number int) simulatedWrite {
	mark := fmt.Sprintf("w%d", number)
	kind := number % writesPerRound
	if s.version == 0 || kind == 0 {
		text := simulatedDocument(s.version+1, mark)
		return simulatedWrite{operation: replaceOperation(s.version, []byte(text)), text: text}
	}
	document, err := configuration.Parse([]byte(s.text))
	if err != nil {
		panic(err) // operators wrote only valid configurations
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

// changeOfSubscribers rotates a key, adds a tenant, removes a tenant's last key, or removes a tenant. The tenant north
// always keeps its key.
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

// checkRefusal checks the answer to an invalid change: it is rejected as invalid, or for its base version.
func (ops *simulatedOperators) checkRefusal(outcome *result.Error) {
	if outcome == nil {
		return // there was no definite answer
	}
	if outcome.Code != result.SharedKey && outcome.Code != result.VersionConflict {
		ops.sim.failf("a change that gives two tenants the same key was answered with %v", outcome)
	}
	if strings.Contains(outcome.Detail, "key of north") {
		ops.sim.failf("an error detail contains a key: %v", outcome)
	}
	if outcome.Code == result.SharedKey {
		ops.sim.coverage["a shared key was rejected"]++
	}
}

// auditSubscribers checks that all agents and control processes with the same version have the same configuration, and
// that its incrementally updated index of tenants equals that of the parsed document.
func (sim *simulation) auditSubscribers() {
	texts := map[uint64]string{}
	check := func(who string, m *state.Machine) {
		document := m.Document()
		if document == nil {
			return
		}
		text := string(document.Raw())
		if first, known := texts[m.Version()]; known && first != text {
			sim.failf("%s has a different configuration of version %d: %s, want %s", who, m.Version(), text, first)
		}
		texts[m.Version()] = text
		read, err := configuration.Parse([]byte(text))
		if err != nil {
			sim.failf("%s has an invalid configuration: %v", who, err)
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

// compareTenants checks that document has the same tenants by key as read, which was parsed from its text.
func (sim *simulation) compareTenants(who string, document, read *configuration.Document) {
	if len(document.Subscribers) != len(read.Subscribers) || document.RequiresKeys() != read.RequiresKeys() {
		sim.failf("%s has %d tenants, its parsed document has %d, or they differ in whether keys are required", who, len(document.Subscribers), len(read.Subscribers))
	}
	for i := range read.Subscribers {
		subscriber := &read.Subscribers[i]
		for _, key := range subscriber.AccessKeys {
			found := document.SubscriberByKey(key)
			if found == nil || found.Name != subscriber.Name {
				sim.failf("%s finds tenant %v by a key of %v", who, found, subscriber)
			}
		}
	}
}
