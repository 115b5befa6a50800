package catalog

import (
	"maps"
	"strings"

	"github.com/portgauge/portgauge/internal/rollout"
)

// Rollout is what is known of moving a service to another version.
type Rollout struct {
	// Order is the operators' word; nil where there is none.
	Order *rollout.Order
	// State is how far the fleet is with an order, this one or one before it; nil before the first.
	State *rollout.State
}

// isRollout reports whether a key has to do with the versions of services.
func isRollout(key string) bool {
	return key == VersionsKey || strings.HasPrefix(key, rolloutPrefix) || strings.HasPrefix(key, rolloutStatePrefix)
}

// compileVersions takes the versions that services are served by.
func (d *draft) compileVersions(entry Entry) error {
	versions := map[string]string{}
	if !entry.Deleted {
		document, err := DecodeDocument(entry)
		if err != nil {
			return err
		}
		if versions, err = rollout.ParseVersions(document); err != nil {
			return err
		}
	}
	known := d.view.Versions
	d.view.Versions = versions
	for service := range known {
		d.rule(service)
	}
	for service := range versions {
		d.rule(service)
	}
	return nil
}

func (d *draft) compileOrder(service string, entry Entry) error {
	known := d.editableRollout(service)
	if entry.Deleted {
		known.Order = nil
		d.setRollout(service, known)
		return nil
	}
	document, err := DecodeDocument(entry)
	if err != nil {
		return err
	}
	if known.Order, err = rollout.ParseOrder(document, entry.Revision); err != nil {
		return err
	}
	d.setRollout(service, known)
	return nil
}

func (d *draft) compileRolloutState(service string, entry Entry) error {
	known := d.editableRollout(service)
	if entry.Deleted {
		known.State = nil
		d.setRollout(service, known)
		return nil
	}
	document, err := DecodeDocument(entry)
	if err != nil {
		return err
	}
	if known.State, err = rollout.ParseState(document, entry.Revision); err != nil {
		return err
	}
	d.setRollout(service, known)
	return nil
}

// editableRollout gives a copy of what is known of a service's roll-out.
func (d *draft) editableRollout(service string) Rollout {
	if !d.ownsRollouts {
		d.view.Rollouts = maps.Clone(d.view.Rollouts)
		d.ownsRollouts = true
	}
	return d.view.Rollouts[service]
}

// setRollout keeps what is known of a service's roll-out, and the rule that follows from it.
func (d *draft) setRollout(service string, known Rollout) {
	if known == (Rollout{}) {
		delete(d.view.Rollouts, service)
	} else {
		d.view.Rollouts[service] = known
	}
	d.rule(service)
}

// rule puts the rule of a service into force that follows from what is known.
func (d *draft) rule(service string) {
	known := d.view.Rollouts[service]
	d.leafEditor().SetRule(service, rollout.RuleOf(known.Order, known.State, d.view.Versions[service]))
}
