package catalog

import (
	"strings"

	"github.com/portgauge/portgauge/internal/quarantine/fingerprint"
)

// Key prefixes of the kinds of entry; there is one entry of routes.
const (
	servicePrefix  = "service/"
	snapshotPrefix = "snapshot/"
	leafPrefix     = "leaf/"
	nodePrefix     = "node/"
	// evacuationPrefix begins the keys of evacuated zones, whose leafs get no requests while the key exists.
	evacuationPrefix = "evacuation/"
	// rolloutPrefix begins the keys of operators' specs to move a service to another version, and
	// rolloutStatePrefix those of the fleet's progress with them.
	rolloutPrefix      = "rollout/"
	rolloutStatePrefix = "rollout-state/"
	// quarantinePrefix begins the keys of requests under quarantine, which are sent to no leaf.
	quarantinePrefix = "quarantine/"
	// RoutesKey is the store key of the routing configuration.
	RoutesKey = "routes"
	// SavedLeafsKey is the store key of the list of leafs that the fleet saves.
	SavedLeafsKey = "remembered-leafs"
	// VersionsKey is the store key of the versions that services without a roll-out are served by.
	VersionsKey = "service-versions"
	// MarkerKey has no value: a change of it only advances the revision.
	MarkerKey = "marker"
)

// ServiceKey is the store key of a service's settings.
func ServiceKey(name string) string { return servicePrefix + name }

// SnapshotKey is the store key of a service's current manifest.
func SnapshotKey(service string) string { return snapshotPrefix + service }

// LeafKey is the store key of a leaf's own record.
func LeafKey(id string) string { return leafPrefix + id }

// NodeKey is the store key of a node's own record.
func NodeKey(id string) string { return nodePrefix + id }

// EvacuationKey is the store key that exists while a zone is evacuated.
func EvacuationKey(zone string) string { return evacuationPrefix + zone }

// RolloutKey is the store key of the spec to move a service to another version.
func RolloutKey(service string) string { return rolloutPrefix + service }

// RolloutStateKey is the store key of the progress of a service's spec.
func RolloutStateKey(service string) string { return rolloutStatePrefix + service }

// QuarantineKey is the store key that exists while the request of a fingerprint is under quarantine.
func QuarantineKey(content string) string { return quarantinePrefix + content }

// isTransient reports whether a key may be removed without a tombstone that must be kept: it exists only as long
// as a process, an evacuation, a quarantine or a spec, or holds versions, so that its absence from a whole
// state means that it was removed.
func isTransient(key string) bool {
	return strings.HasPrefix(key, leafPrefix) || strings.HasPrefix(key, nodePrefix) || strings.HasPrefix(key, evacuationPrefix) ||
		strings.HasPrefix(key, quarantinePrefix) || isRollout(key)
}

// isRollout reports whether a key concerns the versions of services.
func isRollout(key string) bool {
	return key == VersionsKey || strings.HasPrefix(key, rolloutPrefix) || strings.HasPrefix(key, rolloutStatePrefix)
}

// isProcessRecord reports whether a key is the record of a process, which rewrites it itself.
func isProcessRecord(key string) bool {
	return strings.HasPrefix(key, leafPrefix) || strings.HasPrefix(key, nodePrefix)
}

// QuarantinedContent returns the fingerprint of the request that a quarantine key names; false for other keys.
func QuarantinedContent(key string) (fingerprint.Fingerprint, bool) {
	text, isQuarantine := strings.CutPrefix(key, quarantinePrefix)
	if !isQuarantine {
		return fingerprint.Fingerprint{}, false
	}
	content, err := fingerprint.Parse(text)
	return content, err == nil
}
