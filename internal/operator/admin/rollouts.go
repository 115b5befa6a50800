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

// StartRollout writes a spec that moves the requests of a service to the leafs of a version. If two operators start
// rollouts of a service at the same time, one of them gets a RevisionConflict.
func (a *Admin) StartRollout(ctx context.Context, request *adminv1.StartRolloutRequest) (*adminv1.StartRolloutResponse, error) {
	spec := rollout.Spec{Service: request.GetService(), Target: request.GetTarget(), DurationMillis: request.GetDurationMillis()}
	if err := spec.Validate(); err != nil {
		return nil, joinFailures(err)
	}
	document, err := json.Marshal(spec)
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, failure.NotRun, "encode the rollout spec")
	}
	key := catalog.RolloutKey(spec.Service)
	revision, changeID, err := a.writeDocument(ctx, key, document, request.GetExpectedRevision(), request.GetChangeId())
	if err != nil {
		return nil, err
	}
	return &adminv1.StartRolloutResponse{Revision: revision, ChangeId: changeID}, nil
}

// CancelRollout deletes the spec of a service if it still has the expected revision.
func (a *Admin) CancelRollout(ctx context.Context, request *adminv1.CancelRolloutRequest) (*adminv1.CancelRolloutResponse, error) {
	if request.GetService() == "" {
		return nil, failure.Invalid("service", "must not be empty")
	}
	if request.GetExpectedRevision() <= 0 {
		return nil, failure.Invalid("expected_revision", "must be the current revision of the rollout spec")
	}
	key := catalog.RolloutKey(request.GetService())
	revision, _, err := a.writeDocument(ctx, key, nil, request.GetExpectedRevision(), request.GetChangeId())
	if err != nil {
		return nil, err
	}
	return &adminv1.CancelRolloutResponse{Revision: revision}, nil
}

// GetRollout returns the spec and the progress of a service's rollout, as in force on this node.
func (a *Admin) GetRollout(request *adminv1.GetRolloutRequest) (*adminv1.GetRolloutResponse, error) {
	if request.GetService() == "" {
		return nil, failure.Invalid("service", "must not be empty")
	}
	view := a.catalog.View()
	stored, found := view.Rollouts[request.GetService()]
	if !found {
		return nil, failure.New(failure.UnknownService, failure.NotRun, "this node has no rollout of service %q", request.GetService())
	}
	return &adminv1.GetRolloutResponse{
		Rollout: rolloutMessage(view, request.GetService(), stored), ConfigAgeMillis: a.catalog.Age().Milliseconds(),
	}, nil
}

// ListRollouts returns the rollouts of all services that ever had one, sorted by service, as in force on this node.
func (a *Admin) ListRollouts() *adminv1.ListRolloutsResponse {
	view := a.catalog.View()
	response := &adminv1.ListRolloutsResponse{ConfigAgeMillis: a.catalog.Age().Milliseconds()}
	for _, service := range slices.Sorted(maps.Keys(view.Rollouts)) {
		response.Rollouts = append(response.Rollouts, rolloutMessage(view, service, view.Rollouts[service]))
	}
	return response
}

// phases maps phases to the phases of the RPC interface.
var phases = map[rollout.Phase]adminv1.RolloutPhase{
	rollout.PhaseCanary:     adminv1.RolloutPhase_ROLLOUT_PHASE_CANARY,
	rollout.PhaseSwitching:  adminv1.RolloutPhase_ROLLOUT_PHASE_SWITCHING,
	rollout.PhaseSucceeded:  adminv1.RolloutPhase_ROLLOUT_PHASE_SUCCEEDED,
	rollout.PhaseRolledBack: adminv1.RolloutPhase_ROLLOUT_PHASE_ROLLED_BACK,
}

// rolloutMessage returns a rollout as an RPC message. If the state belongs to a replaced spec, only the state's revision
// is taken from it.
func rolloutMessage(view *catalog.View, service string, stored catalog.Rollout) *adminv1.Rollout {
	message := &adminv1.Rollout{Service: service, Serving: view.Leafs.Rule(service).Serving}
	if spec := stored.Spec; spec != nil {
		message.Target, message.DurationMillis, message.OrderRevision = spec.Target, spec.DurationMillis, spec.Revision
	}
	state := stored.State
	if state == nil {
		return message
	}
	message.StateRevision = state.Revision
	if stored.Spec != nil && !state.BelongsTo(stored.Spec) {
		return message
	}
	message.Target, message.Phase = state.Target, phases[state.Phase]
	message.Reason, message.DecidedBy = state.Reason, state.DecidedBy
	return message
}
