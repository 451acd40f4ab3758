// Package goodput tracks the utility that was offered and completed recently, in all, by class
// and by tenant, and derives from it what completing more would add to the goal.
//
// The goal mixes the whole service with its worst-served class and its worst-served
// tenant. So a unit of utility counts once by its part of all utility, and once more by its
// part of its class's where no class is served worse, and of its tenant's likewise.
//
// It is pure: no clock, no I/O. It never decides what is sent or rejected: package balancer does, which owns the
// Tracker.
package goodput

// worstTolerance: classes, or tenants, whose success ratios differ by less are all the worst.
const worstTolerance = 0.02

// Goal weighs the parts of the goal.
type Goal struct{ Total, WorstClass, WorstTenant, WorstWindow float64 }

// Tracker has the utility that was offered and completed. Not safe for concurrent use.
type Tracker struct {
	goal             Goal
	total            tally
	classes, tenants []tally
}

type tally struct{ offered, completed float64 }

// successRatio is what was completed of what was offered, 1 where nothing was.
func (t *tally) successRatio() float64 {
	if t.offered <= 0 {
		return 1
	}
	return t.completed / t.offered
}

func (t *tally) decay(left float64) { t.offered, t.completed = t.offered*left, t.completed*left }

// New gives an empty tracker for so many classes and tenants.
func New(goal Goal, classes, tenants int) *Tracker {
	return &Tracker{goal: goal, classes: make([]tally, classes), tenants: make([]tally, tenants)}
}

// Reset puts another goal in force, with room for so many classes, and a tenant for each of from, which has the
// index that it had before, or one that there wasn't. What was recorded is kept.
func (l *Tracker) Reset(goal Goal, classes int, from []int) {
	l.goal = goal
	for len(l.classes) < classes {
		l.classes = append(l.classes, tally{})
	}
	old := l.tenants
	l.tenants = make([]tally, len(from))
	for i, k := range from {
		if was := tallyAt(old, k); was != nil {
			l.tenants[i] = *was
		}
	}
}

// Clear drops all that was recorded.
func (l *Tracker) Clear() {
	l.total = tally{}
	clear(l.classes)
	clear(l.tenants)
}

// ClearClass drops what was recorded of a class. Offered and completed decay alike, so one that
// was served badly when it was removed would stay the worst of all for good.
func (l *Tracker) ClearClass(class int) { l.classes[class] = tally{} }

// Record adds utility that was offered, and utility that was completed. A class or a tenant that
// is not known counts for the total alone.
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

// MarginalUtility is what a completed unit of utility adds to the goal; inShare is the part of it, 0 to 1,
// that lies within its tenant's quota, which alone counts for the tenant.
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

// RelativeUtility is MarginalUtility in units of all that was offered: 1 and more where the
// total counts alone, several times as much for a small class that is served worst.
func (l *Tracker) RelativeUtility(class, tenant int, withinQuota float64) float64 {
	return l.MarginalUtility(class, tenant, withinQuota) * max(l.total.offered, 1e-9)
}

// isWorst tells whether no other one has a clearly lower success ratio.
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

// Tally is utility offered and completed, for another process to go on with. Its encoding is an array: the order of
// the fields is the stored form.
type Tally struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack struct{} `msgpack:",as_array"`

	Offered   float64 `json:"Asked"`
	Completed float64 `json:"Served"`
}

// Total gives what was recorded in all.
func (l *Tracker) Total() Tally { return l.total.state() }

// Class gives what was recorded of a class.
func (l *Tracker) Class(i int) Tally { return l.classes[i].state() }

// Tenant gives what was recorded of a tenant.
func (l *Tracker) Tenant(i int) Tally { return l.tenants[i].state() }

func (t tally) state() Tally { return Tally{Offered: t.offered, Completed: t.completed} }

// ResumeTotal goes on with the total of another process.
func (l *Tracker) ResumeTotal(t Tally) { l.total = tally{t.Offered, t.Completed} }

// ResumeClass does the same for a class.
func (l *Tracker) ResumeClass(i int, t Tally) { l.classes[i] = tally{t.Offered, t.Completed} }

// ResumeTenant does the same for a tenant.
func (l *Tracker) ResumeTenant(i int, t Tally) { l.tenants[i] = tally{t.Offered, t.Completed} }
