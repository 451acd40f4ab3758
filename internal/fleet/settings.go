package fleet

import (
	"fmt"
	"slices"
	"time"

	"marlreel/internal/balancer"
	"marlreel/internal/fleet/agree"
	"marlreel/internal/fleet/transition"
)

// maxKnownTexts bounds the versions that are combined into the settings without a lease.
const maxKnownTexts = 4

// InitialSettings returns the settings to use until the fleet's state is known, from those of this proxy's file. There is
// no lease on them.
func (f *Fleet) InitialSettings(file balancer.Config) Settings {
	return Settings{InForce: file, WithoutLease: f.initialWithoutLease}
}

// rememberTexts keeps the texts of a state's versions: without a lease a proxy may do only what all versions that it
// knows allow.
func (f *Fleet) rememberTexts(state *agree.State) {
	for _, version := range state.Versions {
		if version.Text != "" && !slices.Contains(f.knownTexts, version.Text) {
			f.knownTexts = append(f.knownTexts, version.Text)
		}
	}
	if n := len(f.knownTexts); n > maxKnownTexts {
		f.knownTexts = f.knownTexts[n-maxKnownTexts:]
	}
}

// settingsWithoutLease combines the known versions that this proxy can parse, followed by newer ones.
func (f *Fleet) settingsWithoutLease(newer ...balancer.Config) balancer.Config {
	var known []balancer.Config
	for _, text := range f.knownTexts {
		if settings, err := f.options.Host.ParseSettings(text); err == nil {
			known = append(known, settings)
		}
	}
	known = append(known, newer...)
	if len(known) == 0 {
		return balancer.Config{}
	}
	return transition.WithoutLease(known)
}

// adopt puts a state of the fleet in force. If this proxy can't parse its settings, the previous ones stay and the lease
// on them expires.
func (f *Fleet) adopt(state *agree.State) {
	f.rememberTexts(state)
	if f.disk != nil {
		if err := f.disk.SaveView(state); err != nil {
			f.warnOnce("fleet-view-not-kept", err)
		}
	}
	f.options.Host.StateChanged(state)
	newest, exists := state.Newest()
	if !exists {
		return // there are no settings that a lease could cover
	}
	if f.applied != nil && f.applied.Born == state.Born && f.applied.Step == state.Step && f.applying == nil {
		f.applied = state // with the same settings
		f.member.InForce(Now(), state)
		return
	}
	settings, err := f.settingsOf(state, newest)
	if err != nil {
		f.warnOnce(fmt.Sprintf("fleet-version-%d", err.Version), err)
		return
	}
	f.applying = state
	f.options.Host.ApplySettings(settings, func(err error) {
		f.post(func() { f.settingsApplied(state, newest, settings.Versions, err) })
	})
}

// settingsOf returns the settings of a state: while its newest version replaces another, what both allow.
func (f *Fleet) settingsOf(state *agree.State, newest agree.Version) (Settings, *VersionError) {
	parsed, err := f.options.Host.ParseSettings(newest.Text)
	if err != nil {
		return Settings{}, &VersionError{newest.Number, err}
	}
	settings := Settings{
		Sequence: state.Seq, Versions: []uint64{newest.Number}, InForce: parsed, WithoutLease: f.settingsWithoutLease(parsed),
	}
	if state.Opening() && state.Open != 0 {
		previous, exists := state.Get(state.Open)
		parsedPrevious, err := f.options.Host.ParseSettings(previous.Text)
		if !exists || err != nil {
			return Settings{}, &VersionError{state.Open, err}
		}
		settings.Versions = []uint64{state.Open, newest.Number}
		settings.InForce = transition.Strictest(parsedPrevious, parsed)
	}
	return settings, nil
}

// settingsApplied handles the host's answer after it was given the settings of a state.
func (f *Fleet) settingsApplied(state *agree.State, newest agree.Version, versions []uint64, err error) {
	if f.applying == state {
		f.applying = nil
	}
	if err != nil {
		f.warnOnce(fmt.Sprintf("fleet-rule-%d", state.Seq), &VersionError{newest.Number, err})
		return
	}
	if f.applied != nil && f.applied.Born == state.Born && f.applied.Seq > state.Seq {
		return // a newer one was applied in the meantime
	}
	f.applied, f.appliedAt = state, time.Now()
	f.member.InForce(Now(), state)
	f.options.Log.Info("the fleet's settings are in force", "event", "fleet-version", "versions", versions, "state", state.Seq, "by", newest.By, "file_differs", newest.Hash != f.fileHash)
	f.extendLease()
	f.publish()
}

// extendLease tells the host when the lease on the settings in force ends, unless it has expired.
func (f *Fleet) extendLease() {
	if f.member.Valid(Now()) {
		f.options.Host.ExtendLease(f.member.Until())
	}
}
