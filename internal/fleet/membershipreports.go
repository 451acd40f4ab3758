package fleet

import (
	"slices"

	"marlreel/internal/fleet/agree"
)

// maxReports bounds the reports that the fleet has not taken yet; the oldest are dropped, as the newest say most.
const maxReports = 64

// ReportMembership tells the fleet which membership this proxy goes by, and which backends ended by it.
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

// resendReports sends what the fleet has not recorded yet again.
func (f *Fleet) resendReports() {
	if f.ticks%resendReportTicks == 0 {
		for _, report := range f.reports {
			f.sendToLeader(&report)
		}
	}
	f.reports = slices.DeleteFunc(f.reports, f.isRecorded)
}

// isRecorded tells whether the fleet's state has all of a report, or a newer history that makes it void.
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

// ResetFloor tells the fleet that a source's revisions begin anew, as after a registry was restored from a backup. It
// does not wait, and is lost while no leader is known.
func (f *Fleet) ResetFloor(source string) {
	f.post(func() { f.sendToLeader(&agree.Change{Kind: "reset", Source: source}) })
}
