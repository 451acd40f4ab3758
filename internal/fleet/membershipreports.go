package fleet

import (
	"slices"

	"marlreel/internal/fleet/agree"
)

// maxReports bounds the reports that are not in the fleet's state yet. The oldest are dropped, as the newest have the
// highest revisions.
const maxReports = 64

// ReportMembership reports to the fleet which membership this proxy uses, and the backends that are draining or gone
// according to it.
func (f *Fleet) ReportMembership(membership agree.Lists, ends []agree.End) {
	f.post(func() {
		f.membership = membership
		f.member.Lists(membership)
		floor := f.member.View().Floors[membership.Source]
		report := agree.Change{
			Kind: "told", Source: membership.Source, Floor: agree.Floor{History: floor.History, Revision: membership.Revision}, Ends: ends,
		}
		if f.isRecorded(report) {
			return
		}
		if len(f.reports) >= maxReports {
			f.reports = f.reports[1:]
		}
		f.reports = append(f.reports, report)
		f.sendToLeader(&report)
	})
}

// resendReports sends the reports again that the fleet has not recorded yet.
func (f *Fleet) resendReports() {
	if f.ticks%resendReportTicks == 0 {
		for _, report := range f.reports {
			f.sendToLeader(&report)
		}
	}
	f.reports = slices.DeleteFunc(f.reports, f.isRecorded)
}

// isRecorded reports whether the fleet's state contains all of a report, or another history that makes it obsolete.
func (f *Fleet) isRecorded(report agree.Change) bool {
	state := f.member.View()
	floor := state.Floors[report.Source]
	if floor.History != report.Floor.History {
		return true
	}
	for _, end := range report.Ends {
		if recorded, exists := state.End(report.Source, end.Name); !exists || recorded.Revision < end.Revision {
			return false
		}
	}
	return floor.Revision >= report.Floor.Revision
}

// ResetFloor tells the fleet that a source's revisions start again, as after a registry was restored from a backup. It
// does not wait for an answer, and the request is lost if no leader is known.
func (f *Fleet) ResetFloor(source string) {
	f.post(func() { f.sendToLeader(&agree.Change{Kind: "reset", Source: source}) })
}
