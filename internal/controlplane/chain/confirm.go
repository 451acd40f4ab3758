package chain

import (
	"slices"
	"time"

	"marlreel/internal/api"
)

// confirmation is a question to the members whether a view still stands.
type confirmation struct {
	view    uint64
	members []string // keys of those that have confirmed it
}

// CanRead tells whether this node is the tail of a view in service. Its state is the newest only once a ConfirmView that
// began after the reader's call has come back: another view may be in force elsewhere.
func (n *Node) CanRead() bool {
	return n.isTail() && n.viewInService()
}

// ConfirmView asks the members whether this node's view still stands (as ReadIndex does in Raft). The token comes back
// among an Output's ConfirmedTokens once a majority has confirmed it: since a majority is not wedged, no other view was
// agreed when the call began. The token never comes back if this node is not in service or the view changes; the caller
// uses each token once, and gives up by CancelConfirmation.
func (n *Node) ConfirmView(now time.Duration, token uint64) Output {
	n.now = now
	if !n.viewInService() {
		return n.takeOutput()
	}
	n.confirmations[token] = &confirmation{view: n.durable.View.Number}
	n.recordConfirmation(token, n.durable.Self)
	for _, member := range n.otherMembers() {
		n.send(member, &api.ChainMessage{Body: &api.ChainMessage_Confirm{Confirm: &api.Confirm{Token: token}}})
	}
	return n.takeOutput()
}

// CancelConfirmation forgets a token that nobody waits for any more.
func (n *Node) CancelConfirmation(token uint64) { delete(n.confirmations, token) }

// onConfirm confirms the view, unless this member has promised to agree on another one.
func (n *Node) onConfirm(from *api.Member, confirm *api.Confirm) {
	if n.wedged() || !n.isMember() {
		return
	}
	n.send(from, &api.ChainMessage{Body: &api.ChainMessage_Confirmed{Confirmed: &api.Confirmed{Token: confirm.Token}}})
}

func (n *Node) onConfirmed(from *api.Member, confirmed *api.Confirmed) {
	if !n.wedged() {
		n.recordConfirmation(confirmed.Token, from)
	}
}

func (n *Node) recordConfirmation(token uint64, member *api.Member) {
	c := n.confirmations[token]
	if c == nil || c.view != n.durable.View.Number || !containsMember(n.durable.View.Members, member) {
		return
	}
	key := MemberKey(member)
	if !slices.Contains(c.members, key) {
		c.members = append(c.members, key)
	}
	if len(c.members) >= majority(len(n.durable.View.Members)) {
		delete(n.confirmations, token)
		n.output.ConfirmedTokens = append(n.output.ConfirmedTokens, token)
	}
}
