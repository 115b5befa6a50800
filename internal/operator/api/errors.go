package api

import (
	"errors"
	"math"
	"net"
	"net/http"
	"strconv"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	searchv1 "github.com/portgauge/portgauge/gen/portgauge/search/v1"
	"github.com/portgauge/portgauge/internal/failure"
)

// retryAfterHeader is the standard HTTP header; its value is in whole seconds.
const retryAfterHeader = "Retry-After"

// rpcCodes maps failure codes to RPC codes; other failure codes map to Internal.
var rpcCodes = map[failure.Code]connect.Code{
	failure.InvalidField:       connect.CodeInvalidArgument,
	failure.UnknownService:     connect.CodeNotFound,
	failure.NoSnapshot:         connect.CodeFailedPrecondition,
	failure.NotReady:           connect.CodeUnavailable,
	failure.Draining:           connect.CodeUnavailable,
	failure.Overloaded:         connect.CodeResourceExhausted,
	failure.DeadlineTooShort:   connect.CodeDeadlineExceeded,
	failure.DeadlineExceeded:   connect.CodeDeadlineExceeded,
	failure.IncompleteCoverage: connect.CodeDataLoss,
	failure.NotRepeatable:      connect.CodeAlreadyExists,
	failure.RevisionConflict:   connect.CodeAborted,
	failure.StoreUnavailable:   connect.CodeUnavailable,
	failure.OutcomeUnknown:     connect.CodeUnknown,
	failure.Cancelled:          connect.CodeCanceled,
}

// toRPC returns the error that a client receives, with the RPC code, typed details and the Retry-After header.
func toRPC(err error) error {
	failed := failure.From(err)
	code, known := rpcCodes[failed.Code]
	if !known {
		code = connect.CodeInternal
	}
	result := connect.NewError(code, failed)
	addDetail(result, &searchv1.FailureDetail{
		Code:             string(failed.Code),
		ExecutionState:   failed.Execution,
		Field:            failed.Field,
		RetryAfterMillis: failed.RetryAfter.Milliseconds(),
		Coverage:         failed.Coverage,
		CurrentRevision:  failed.CurrentRevision,
	})
	if failed.RetryAfter > 0 {
		addDetail(result, &errdetails.RetryInfo{RetryDelay: durationpb.New(failed.RetryAfter)})
		seconds := int(math.Ceil(failed.RetryAfter.Seconds()))
		result.Meta().Set(retryAfterHeader, strconv.Itoa(seconds))
	}
	return result
}

func addDetail(target *connect.Error, message proto.Message) {
	if detail, err := connect.NewErrorDetail(message); err == nil {
		target.AddDetail(detail)
	}
}

// dialOperation is the operation in errors of package net if a connection could not be opened.
const dialOperation = "dial"

// unreachableRetryAfter is the Retry-After if no connection to the node could be opened.
const unreachableRetryAfter = 100 * time.Millisecond

// FailureOf returns the typed failure in an error that a client of the API received. An error without a typed failure comes
// from the transport: if no connection was opened, nothing ran; otherwise the execution state is unknown.
func FailureOf(err error) *failure.Failure {
	var networkError *net.OpError
	if errors.As(err, &networkError) && networkError.Op == dialOperation {
		return failure.Wrap(err, failure.Unreachable, failure.NotRun, "could not connect to the node").WithRetryAfter(unreachableRetryAfter)
	}
	var rpcError *connect.Error
	if !errors.As(err, &rpcError) {
		return failure.From(err)
	}
	for _, detail := range rpcError.Details() {
		value, valueErr := detail.Value()
		if valueErr != nil {
			continue
		}
		if typed, isFailure := value.(*searchv1.FailureDetail); isFailure {
			return fromDetail(typed, rpcError.Message())
		}
	}
	return failure.Wrap(err, failure.Internal, failure.Unknown, "the call failed without a typed error")
}

func fromDetail(detail *searchv1.FailureDetail, message string) *failure.Failure {
	failed := failure.New(failure.Code(detail.GetCode()), detail.GetExecutionState(), "%s", message)
	failed.Field = detail.GetField()
	failed.RetryAfter = time.Duration(detail.GetRetryAfterMillis()) * time.Millisecond
	failed.Coverage = detail.GetCoverage()
	failed.CurrentRevision = detail.GetCurrentRevision()
	return failed
}

// statusOf returns the HTTP status for a health check.
func statusOf(healthy bool) int {
	if healthy {
		return http.StatusOK
	}
	return http.StatusServiceUnavailable
}
