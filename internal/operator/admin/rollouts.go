package admin

import (
	"context"
	"encoding/json"
	"maps"
	"slices"

	adminv1 "github.com/portgauge/portgauge/gen/portgauge/admin/v1"
	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/rollout"
)

// StartRollout orders that the requests of a service move to the leafs of a version. If two operators order at once,
// one gets a conflict.
func (a *Admin) StartRollout(ctx context.Context, request *adminv1.StartRolloutRequest) (*adminv1.StartRolloutResponse, error) {
	spec := rollout.Spec{Service: request.GetService(), Target: request.GetTarget(), DurationMillis: request.GetDurationMillis()}
	if err := spec.Validate(); err != nil {
		return nil, joinFaults(err)
	}
	document, err := json.Marshal(spec)
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, failure.NotRun, "encode roll-out order")
	}
	key := catalog.RolloutKey(spec.Service)
	revision, changeID, err := a.writeDocument(ctx, key, document, request.GetExpectedRevision(), request.GetChangeId())
	if err != nil {
		return nil, err
	}
	return &adminv1.StartRolloutResponse{Revision: revision, ChangeId: changeID}, nil
}

// CancelRollout withdraws the spec of a service that the operator saw at a revision.
func (a *Admin) CancelRollout(ctx context.Context, request *adminv1.CancelRolloutRequest) (*adminv1.CancelRolloutResponse, error) {
	if request.GetService() == "" {
		return nil, failure.Invalid("service", "must not be empty")
	}
	if request.GetExpectedRevision() <= 0 {
		return nil, failure.Invalid("expected_revision", "must be the revision of the order")
	}
	key := catalog.RolloutKey(request.GetService())
	revision, _, err := a.writeDocument(ctx, key, nil, request.GetExpectedRevision(), request.GetChangeId())
	if err != nil {
		return nil, err
	}
	return &adminv1.CancelRolloutResponse{Revision: revision}, nil
}

// GetRollout returns the spec of a service and its progress, as in force on this node.
func (a *Admin) GetRollout(request *adminv1.GetRolloutRequest) (*adminv1.GetRolloutResponse, error) {
	if request.GetService() == "" {
		return nil, failure.Invalid("service", "must not be empty")
	}
	view := a.catalog.View()
	known, found := view.Rollouts[request.GetService()]
	if !found {
		return nil, failure.New(failure.UnknownService, failure.NotRun, "service %q never had a roll-out", request.GetService())
	}
	return &adminv1.GetRolloutResponse{
		Rollout: rolloutMessage(view, request.GetService(), known), ConfigAgeMillis: a.catalog.Age().Milliseconds(),
	}, nil
}

// ListRollouts returns the specs of all services that ever had one and their progress, sorted by service, as in
// force on this node.
func (a *Admin) ListRollouts() *adminv1.ListRolloutsResponse {
	view := a.catalog.View()
	response := &adminv1.ListRolloutsResponse{ConfigAgeMillis: a.catalog.Age().Milliseconds()}
	for _, service := range slices.Sorted(maps.Keys(view.Rollouts)) {
		response.Rollouts = append(response.Rollouts, rolloutMessage(view, service, view.Rollouts[service]))
	}
	return response
}

// phases maps phases to those of the operators' interface.
var phases = map[rollout.Phase]adminv1.RolloutPhase{
	rollout.Canary:     adminv1.RolloutPhase_ROLLOUT_PHASE_CANARY,
	rollout.Switching:  adminv1.RolloutPhase_ROLLOUT_PHASE_SWITCHING,
	rollout.Succeeded:  adminv1.RolloutPhase_ROLLOUT_PHASE_SUCCEEDED,
	rollout.RolledBack: adminv1.RolloutPhase_ROLLOUT_PHASE_ROLLED_BACK,
}

// rolloutMessage returns a roll-out in the form of the operators' interface. Of a state that belongs to a spec
// which was replaced, only the serving version is used.
func rolloutMessage(view *catalog.View, service string, known catalog.Rollout) *adminv1.Rollout {
	message := &adminv1.Rollout{Service: service, Serving: view.Leafs.Rule(service).Serving}
	if spec := known.Spec; spec != nil {
		message.Target, message.DurationMillis, message.OrderRevision = spec.Target, spec.DurationMillis, spec.Revision
	}
	state := known.State
	if state == nil {
		return message
	}
	message.StateRevision = state.Revision
	if known.Spec != nil && !state.BelongsTo(known.Spec) {
		return message
	}
	message.Target, message.Phase = state.Target, phases[state.Phase]
	message.Reason, message.DecidedBy = state.Reason, state.DecidedBy
	return message
}
