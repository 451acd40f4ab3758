// Package goodput tracks the utility that was offered and completed recently, in total, by class and by tenant, and
// derives how much completing more would add to the goal.
//
// The goal combines the success ratio of the whole service with those of its worst-served class and its worst-served
// tenant. So a unit of completed utility counts as a part of all offered utility; it counts again as a part of its
// class's if no class is served worse, and likewise for its tenant.
//
// The package is pure: no clock, no I/O. Package balancer, which owns the Tracker, decides what is sent or rejected.
package goodput

// worstTolerance is the difference in success ratio up to which several classes, or tenants, all count as the worst.
const worstTolerance = 0.02

// Goal holds the weights of the parts of the goal.
type Goal struct{ Total, WorstClass, WorstTenant, WorstWindow float64 }

// Tracker holds the utility that was offered and completed. Not safe for concurrent use.
type Tracker struct {
	goal             Goal
	total            tally
	classes, tenants []tally
}

type tally struct{ offered, completed float64 }

// successRatio is completed divided by offered utility, 1 if none was offered.
func (t *tally) successRatio() float64 {
	if t.offered <= 0 {
		return 1
	}
	return t.completed / t.offered
}

func (t *tally) decay(left float64) { t.offered, t.completed = t.offered*left, t.completed*left }

// New returns an empty tracker for the given numbers of classes and tenants.
func New(goal Goal, classes, tenants int) *Tracker {
	return &Tracker{goal: goal, classes: make([]tally, classes), tenants: make([]tally, tenants)}
}

// Reset sets another goal, makes room for the given number of classes, and has one tenant for each entry of from: its
// previous index, or one out of range for a new tenant. What was recorded is kept.
func (l *Tracker) Reset(goal Goal, classes int, from []int) {
	l.goal = goal
	for len(l.classes) < classes {
		l.classes = append(l.classes, tally{})
	}
	old := l.tenants
	l.tenants = make([]tally, len(from))
	for i, k := range from {
		if previous := tallyAt(old, k); previous != nil {
			l.tenants[i] = *previous
		}
	}
}

// Clear drops all that was recorded.
func (l *Tracker) Clear() {
	l.total = tally{}
	clear(l.classes)
	clear(l.tenants)
}

// ClearClass drops what was recorded of a class. Offered and completed utility decay alike, so a class that was served
// badly when it was removed would otherwise stay the worst for good.
func (l *Tracker) ClearClass(class int) { l.classes[class] = tally{} }

// Record adds offered and completed utility. Utility of an unknown class or tenant still counts for the total.
func (l *Tracker) Record(class, tenant int, offered, completed float64) {
	for _, t := range [3]*tally{&l.total, tallyAt(l.classes, class), tallyAt(l.tenants, tenant)} {
		if t != nil {
			t.offered, t.completed = t.offered+offered, t.completed+completed
		}
	}
}

// Decay multiplies all that was recorded by a factor, 0 to 1.
func (l *Tracker) Decay(left float64) {
	l.total.decay(left)
	for _, list := range [2][]tally{l.classes, l.tenants} {
		for i := range list {
			list[i].decay(left)
		}
	}
}

// MarginalUtility returns what a completed unit of utility adds to the goal. withinQuota is the part of the unit, 0 to
// 1, that lies within its tenant's quota; only this part counts for the tenant.
func (l *Tracker) MarginalUtility(class, tenant int, withinQuota float64) float64 {
	v := (l.goal.Total + l.goal.WorstWindow) / max(l.total.offered, 1e-9)
	if t := tallyAt(l.classes, class); t != nil && isWorst(t, l.classes) {
		v += l.goal.WorstClass / t.offered
	}
	if t := tallyAt(l.tenants, tenant); t != nil && isWorst(t, l.tenants) {
		v += l.goal.WorstTenant / t.offered * withinQuota
	}
	return v
}

// RelativeUtility is MarginalUtility in units of all offered utility: 1 and more where only the total counts, several
// times as much for a small class that is served worst.
func (l *Tracker) RelativeUtility(class, tenant int, withinQuota float64) float64 {
	return l.MarginalUtility(class, tenant, withinQuota) * max(l.total.offered, 1e-9)
}

// isWorst reports whether t was offered any utility and no other tally has a clearly lower success ratio.
func isWorst(t *tally, others []tally) bool {
	for i := range others {
		if others[i].successRatio() < t.successRatio()-worstTolerance {
			return false
		}
	}
	return t.offered > 0
}

func tallyAt(list []tally, i int) *tally {
	if i < 0 || i >= len(list) {
		return nil
	}
	return &list[i]
}

// Tally is offered and completed utility, for another process to resume. Its encoding is an array: the order of the
// fields is the stored form.
type Tally struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack struct{} `msgpack:",as_array"`

	Offered   float64 `json:"Asked"`
	Completed float64 `json:"Served"`
}

// Total returns what was recorded in total.
func (l *Tracker) Total() Tally { return l.total.state() }

// Class returns what was recorded of a class.
func (l *Tracker) Class(i int) Tally { return l.classes[i].state() }

// Tenant returns what was recorded of a tenant.
func (l *Tracker) Tenant(i int) Tally { return l.tenants[i].state() }

func (t tally) state() Tally { return Tally{Offered: t.offered, Completed: t.completed} }

// ResumeTotal continues with the total of another process.
func (l *Tracker) ResumeTotal(t Tally) { l.total = tally{t.Offered, t.Completed} }

// ResumeClass continues with what another process recorded of a class.
func (l *Tracker) ResumeClass(i int, t Tally) { l.classes[i] = tally{t.Offered, t.Completed} }

// ResumeTenant continues with what another process recorded of a tenant.
func (l *Tracker) ResumeTenant(i int, t Tally) { l.tenants[i] = tally{t.Offered, t.Completed} }
