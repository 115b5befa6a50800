package catalog

import (
	"maps"

	"github.com/portgauge/portgauge/internal/rollout"
)

func (d *draft) compileVersions(entry Entry) error {
	versions := map[string]string{}
	if !entry.Deleted {
		var err error
		if versions, err = parseDocument(entry, rollout.ParseVersions); err != nil {
			return err
		}
	}
	known := d.view.Versions
	d.view.Versions = versions
	for service := range known {
		d.updateRule(service)
	}
	for service := range versions {
		d.updateRule(service)
	}
	return nil
}

func (d *draft) compileSpec(service string, entry Entry) error {
	known := d.editableRollout(service)
	known.Spec = nil
	if !entry.Deleted {
		spec, err := parseDocumentAt(entry, rollout.ParseSpec)
		if err != nil {
			return err
		}
		spec.InheritID(d.rolloutBefore(service).Spec)
		known.Spec = spec
	}
	d.setRollout(service, known)
	return nil
}

func (d *draft) compileRolloutState(service string, entry Entry) error {
	known := d.editableRollout(service)
	known.State = nil
	if !entry.Deleted {
		state, err := parseDocumentAt(entry, rollout.ParseState)
		if err != nil {
			return err
		}
		known.State = state
	}
	d.setRollout(service, known)
	return nil
}

// rolloutBefore returns a service's rollout before the draft. In a draft of a whole state, it is the rollout of the
// replaced state.
func (d *draft) rolloutBefore(service string) Rollout {
	if known, found := d.view.Rollouts[service]; found {
		return known
	}
	return d.rolloutsBefore[service]
}

// editableRollout returns a copy of a service's rollout, and makes the draft own the map.
func (d *draft) editableRollout(service string) Rollout {
	if !d.ownsRollouts {
		d.view.Rollouts = maps.Clone(d.view.Rollouts)
		d.ownsRollouts = true
	}
	return d.view.Rollouts[service]
}

// setRollout sets a service's rollout and the rule that follows from it.
func (d *draft) setRollout(service string, known Rollout) {
	if known == (Rollout{}) {
		delete(d.view.Rollouts, service)
	} else {
		d.view.Rollouts[service] = known
	}
	d.updateRule(service)
}

// updateRule sets the rule by which the leafs of a service are selected, from its spec, progress and version.
func (d *draft) updateRule(service string) {
	known := d.view.Rollouts[service]
	d.leafEditor().SetRule(service, rollout.RuleOf(known.Spec, known.State, d.view.Versions[service]))
}
