package chain

import "marlreel/internal/api"

// ballotLess orders ballots by round, then by proposer, so that two proposers never have equal ballots. A nil ballot is
// the lowest.
func ballotLess(a, b *api.Ballot) bool {
	if a.GetRound() != b.GetRound() {
		return a.GetRound() < b.GetRound()
	}
	return a.GetProposer() < b.GetProposer()
}

func ballotEqual(a, b *api.Ballot) bool {
	return a.GetRound() == b.GetRound() && a.GetProposer() == b.GetProposer()
}
