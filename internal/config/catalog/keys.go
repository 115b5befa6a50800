package catalog

import (
	"strings"

	"github.com/portgauge/portgauge/internal/quarantine/fingerprint"
)

// Store keys and key prefixes.
const (
	servicePrefix  = "service/"
	manifestPrefix = "snapshot/"
	leafPrefix     = "leaf/"
	nodePrefix     = "node/"
	// evacuationPrefix begins the keys of evacuated zones, whose leafs get no requests while the key exists.
	evacuationPrefix = "evacuation/"
	// rolloutPrefix begins the keys of the operators' rollout specs, rolloutStatePrefix the keys of their progress.
	rolloutPrefix      = "rollout/"
	rolloutStatePrefix = "rollout-state/"
	// quarantinePrefix begins the keys of quarantined requests, which are sent to no leaf.
	quarantinePrefix = "quarantine/"
	// RoutesKey is the store key of the routing configuration.
	RoutesKey = "routes"
	// StoredLeafsKey is the store key of the stored list of leafs.
	StoredLeafsKey = "remembered-leafs"
	// VersionsKey is the store key of the serving versions of services without a rollout.
	VersionsKey = "service-versions"
	// MarkerKey is the key of marker entries, which have no value, see Marker.
	MarkerKey = "marker"
)

// ServiceKey returns the store key of a service's settings.
func ServiceKey(name string) string { return servicePrefix + name }

// ManifestKey returns the store key of a service's current manifest.
func ManifestKey(service string) string { return manifestPrefix + service }

// LeafKey returns the store key of a leaf's record.
func LeafKey(id string) string { return leafPrefix + id }

// NodeKey returns the store key of a node's record.
func NodeKey(id string) string { return nodePrefix + id }

// EvacuationKey returns the store key that exists while a zone is evacuated.
func EvacuationKey(zone string) string { return evacuationPrefix + zone }

// RolloutKey returns the store key of a service's rollout spec.
func RolloutKey(service string) string { return rolloutPrefix + service }

// RolloutStateKey returns the store key of the progress of a service's rollout spec.
func RolloutStateKey(service string) string { return rolloutStatePrefix + service }

// QuarantineKey returns the store key that exists while the request with a fingerprint is quarantined.
func QuarantineKey(content string) string { return quarantinePrefix + content }

// isTransient reports whether a key needs no tombstone once it is removed: its absence from a whole state means that it
// was removed. These are the keys of leafs, nodes, evacuations, quarantines, rollouts and serving versions.
func isTransient(key string) bool {
	return strings.HasPrefix(key, leafPrefix) || strings.HasPrefix(key, nodePrefix) || strings.HasPrefix(key, evacuationPrefix) ||
		strings.HasPrefix(key, quarantinePrefix) || isRollout(key)
}

// isRollout reports whether a key holds the versions of services, a rollout spec or its progress.
func isRollout(key string) bool {
	return key == VersionsKey || strings.HasPrefix(key, rolloutPrefix) || strings.HasPrefix(key, rolloutStatePrefix)
}

// isProcessRecord reports whether a key holds the record of a leaf or a node, which rewrites it itself.
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
