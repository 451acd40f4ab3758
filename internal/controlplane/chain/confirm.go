package chain

import (
	"slices"
	"time"

	"marlreel/internal/api"
)

// confirmation is a pending request to the members to confirm that a view is still current.
type confirmation struct {
	view    uint64
	members []string // keys of the members that have confirmed it
}

// CanRead reports whether this node is the tail of a view in service. Other members may have installed a newer view,
// so a linearizable read must also wait for a ConfirmView that began after the read arrived.
func (n *Node) CanRead() bool {
	return n.isTail() && n.viewInService()
}

// ConfirmView asks the members whether this node's view is still current (as ReadIndex does in Raft). The token appears
// in an Output's ConfirmedTokens once a majority has confirmed the view: that majority was not wedged, so no newer view
// had been agreed when the call began. The token never appears if this node is not in service or if the view changes.
// The caller uses each token once, and calls CancelConfirmation to stop waiting.
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

// CancelConfirmation discards a token that no caller waits for any more.
func (n *Node) CancelConfirmation(token uint64) { delete(n.confirmations, token) }

// onConfirm confirms the view, unless this member is wedged.
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
