package catalog

import (
	"maps"
	"strings"

	json "github.com/goccy/go-json"

	"github.com/portgauge/portgauge/internal/config/revision"
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

// Renewed gives the value by which an entry of an earlier epoch is written again; not due yet where it depends on another that
// is not written again. The state of a roll-out names its order, which a restored store may have at another count.
func (c *Catalog) Renewed(entry Entry) (value json.RawMessage, isDue bool) {
	service, isState := strings.CutPrefix(entry.Key, rolloutStatePrefix)
	if !isState || entry.Deleted {
		return entry.Value, true
	}
	view := c.View()
	known := view.Rollouts[service]
	if known.Order == nil || known.State == nil || !known.State.BelongsTo(known.Order) {
		return entry.Value, true
	}
	if revision.IsLater(view.Revision, known.Order.Revision) {
		return nil, false
	}
	state := *known.State
	state.OrderRevision = revision.Count(known.Order.Revision)
	document, err := json.Marshal(state)
	if err != nil {
		return nil, false
	}
	envelope, err := OpenEnvelope(entry.Value)
	if err != nil {
		return nil, false
	}
	value, err = NewDocument(envelope.ChangeID, document, nil)
	return value, err == nil
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
	order, err := rollout.ParseOrder(document, entry.Revision)
	if err != nil {
		return err
	}
	order.InheritID(d.rolloutBefore(service).Order)
	known.Order = order
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

// rolloutBefore gives what was known of a service's roll-out before the draft: of a whole state, what it takes the place of.
func (d *draft) rolloutBefore(service string) Rollout {
	if known, found := d.view.Rollouts[service]; found {
		return known
	}
	return d.rolloutsBefore[service]
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
