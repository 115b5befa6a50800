package admin

import (
	"fmt"
	"net/netip"
	"time"
	"unicode/utf8"

	adminv1 "github.com/portgauge/portgauge/gen/portgauge/admin/v1"
	"github.com/portgauge/portgauge/internal/failure"
)

// notReadyRetryAfter is the Retry-After if the store did not answer.
const notReadyRetryAfter = time.Second

// Defaults and bounds of service specs.
const (
	defaultDeadlineMillis        = 1000
	defaultMaximumDeadlineMillis = 30_000
	defaultConcurrencyLimit      = 64
	defaultQueueLimit            = 128
	defaultPageSize              = 1000
	maximumDeadlineMillis        = 10 * 60 * 1000
	maximumPageSize              = 100_000
	maximumConcurrencyLimit      = 100_000
	maximumNameLength            = 64
	maximumLeafs                 = 20_000
	maximumHedgeBudgetPerMille   = 1000
	allowedNamePunctuation       = "-_."
	maximumChangeIDLength        = 128
	maximumSnapshotIDLength      = 128
	maximumLeafIDLength          = 64
	maximumZoneLength            = 64
	maximumQueueLimit            = 100_000
)

// FillDefaults sets unset fields to their defaults.
func FillDefaults(spec *adminv1.ServiceSpec) {
	fill := func(field *uint32, value uint32) {
		if *field == 0 {
			*field = value
		}
	}
	fill(&spec.MaxDeadlineMillis, defaultMaximumDeadlineMillis)
	fill(&spec.DefaultDeadlineMillis, min(defaultDeadlineMillis, spec.MaxDeadlineMillis))
	fill(&spec.ConcurrencyLimit, defaultConcurrencyLimit)
	fill(&spec.QueueLimit, defaultQueueLimit)
	fill(&spec.PageSize, defaultPageSize)
	if spec.GetUrgency() == adminv1.Urgency_URGENCY_UNSPECIFIED {
		spec.Urgency = adminv1.Urgency_URGENCY_NORMAL
	}
}

// ValidateSpec returns an error that lists every invalid field of a service spec.
func ValidateSpec(spec *adminv1.ServiceSpec) error {
	var checks failure.Checks
	if spec == nil {
		return failure.Invalid("spec", "must be given")
	}
	checkName(&checks, "spec.name", spec.GetName(), maximumNameLength)
	_, knownUrgency := adminv1.Urgency_name[int32(spec.GetUrgency())]
	checks.Refuse(!knownUrgency, "spec.urgency", "%d is not an urgency", spec.GetUrgency())
	checks.Refuse(spec.GetMaxDeadlineMillis() > maximumDeadlineMillis, "spec.max_deadline_millis", "%d exceeds the maximum of %d", spec.GetMaxDeadlineMillis(), maximumDeadlineMillis)
	checks.Refuse(spec.GetDefaultDeadlineMillis() > spec.GetMaxDeadlineMillis(), "spec.default_deadline_millis", "%d; at most max_deadline_millis %d", spec.GetDefaultDeadlineMillis(), spec.GetMaxDeadlineMillis())
	checks.Refuse(spec.GetConcurrencyLimit() > maximumConcurrencyLimit, "spec.concurrency_limit", "%d exceeds the maximum of %d", spec.GetConcurrencyLimit(), maximumConcurrencyLimit)
	checks.Refuse(spec.GetQueueLimit() > maximumQueueLimit, "spec.queue_limit", "%d exceeds the maximum of %d", spec.GetQueueLimit(), maximumQueueLimit)
	checks.Refuse(spec.GetPageSize() > maximumPageSize, "spec.page_size", "%d exceeds the maximum of %d", spec.GetPageSize(), maximumPageSize)
	checks.Refuse(spec.GetHedge().GetBudgetPerMille() > maximumHedgeBudgetPerMille, "spec.hedge.budget_per_mille", "%d exceeds the maximum of %d", spec.GetHedge().GetBudgetPerMille(), maximumHedgeBudgetPerMille)
	checks.Refuse(len(spec.GetLeafs()) == 0, "spec.leafs", "must name at least one leaf")
	checks.Refuse(len(spec.GetLeafs()) > maximumLeafs, "spec.leafs", "%d leafs exceed the maximum of %d", len(spec.GetLeafs()), maximumLeafs)
	checkLeafs(&checks, spec.GetLeafs())
	return checks.Err()
}

func checkLeafs(checks *failure.Checks, leafs []*adminv1.Leaf) {
	seen := make(map[string]bool, len(leafs))
	for index, leaf := range leafs {
		field := fmt.Sprintf("spec.leafs[%d]", index)
		checkName(checks, field+".id", leaf.GetId(), maximumLeafIDLength)
		checks.Refuse(seen[leaf.GetId()], field+".id", "leaf %q is named twice", leaf.GetId())
		seen[leaf.GetId()] = true
		_, err := netip.ParseAddrPort(leaf.GetAddress())
		checks.Refuse(err != nil, field+".address", "%q is invalid; must be an IP address and port", leaf.GetAddress())
		checkName(checks, field+".zone", leaf.GetZone(), maximumZoneLength)
	}
}

// checkName allows only letters, digits and a few punctuation marks, so that names can be used in keys, logs and metrics.
func checkName(checks *failure.Checks, field, name string, maximum int) {
	checks.Refuse(name == "", field, "must not be empty")
	checks.Refuse(len(name) > maximum, field, "%d bytes exceed the maximum of %d bytes", len(name), maximum)
	checks.Refuse(!utf8.ValidString(name), field, "must be valid UTF-8")
	for _, letter := range name {
		if !allowedInName(letter) {
			checks.Refuse(true, field, "%q; only letters, digits and %q are allowed", name, allowedNamePunctuation)
			return
		}
	}
}

func allowedInName(letter rune) bool {
	switch {
	case letter >= 'a' && letter <= 'z', letter >= 'A' && letter <= 'Z', letter >= '0' && letter <= '9':
		return true
	}
	for _, punctuation := range allowedNamePunctuation {
		if letter == punctuation {
			return true
		}
	}
	return false
}
