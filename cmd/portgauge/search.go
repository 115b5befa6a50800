package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"time"

	"connectrpc.com/connect"

	searchv1 "github.com/portgauge/portgauge/gen/portgauge/search/v1"
	"github.com/portgauge/portgauge/internal/operator/api"
	"github.com/portgauge/portgauge/internal/operator/cli"
)

type searchCommand struct {
	Address      string        `help:"Caller address of a node." default:"127.0.0.1:7400"`
	Service      string        `arg:"" help:"Service to search."`
	Filter       string        `arg:"" optional:"" help:"Text that the key or the value of a row must contain."`
	From         string        `help:"First key of the range; empty means no lower bound."`
	To           string        `help:"Key after the last key of the range; empty means no upper bound."`
	Limit        uint32        `help:"Maximum number of rows to return; 0 means the page size of the service."`
	Deadline     time.Duration `help:"Time allowed for the answer; 0 means the default deadline of the service."`
	AtMostOnce   bool          `help:"Run the request at most once on each shard."`
	FullCoverage bool          `help:"Fail unless every shard answered."`
	RequestID    string        `help:"ID of the request; made by the node if empty."`
	Output       cli.Format    `help:"Output format: ${enum}." enum:"json,table" default:"table"`
}

// clientGrace is how long the client waits for the answer after the deadline.
const clientGrace = 5 * time.Second

// defaultClientWait is how long the client waits for the answer if no deadline is given.
const defaultClientWait = 60 * time.Second

// Run prints the rows on standard output and the coverage on standard error.
func (c *searchCommand) Run() error {
	wait := defaultClientWait
	if c.Deadline > 0 {
		wait = c.Deadline + clientGrace
	}
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	response, err := cli.SearchClient(c.Address).Search(ctx, connect.NewRequest(c.request()))
	if err != nil {
		return api.FailureOf(err)
	}
	return c.print(response.Msg)
}

func (c *searchCommand) request() *searchv1.SearchRequest {
	request := &searchv1.SearchRequest{
		Service:        c.Service,
		RequestId:      c.RequestID,
		Range:          &searchv1.KeyRange{From: c.From, To: c.To},
		Filter:         c.Filter,
		Limit:          c.Limit,
		DeadlineMillis: uint32(c.Deadline.Milliseconds()),
	}
	if c.AtMostOnce {
		request.Repeatability = searchv1.Repeatability_REPEATABILITY_AT_MOST_ONCE
	}
	if c.FullCoverage {
		request.CoverageDemand = searchv1.CoverageDemand_COVERAGE_DEMAND_FULL
	}
	return request
}

func (c *searchCommand) print(response *searchv1.SearchResponse) error {
	var rows [][]string
	for _, row := range response.GetRows() {
		rows = append(rows, []string{row.GetKey(), string(row.GetValue())})
	}
	if err := cli.PrintMessage(os.Stdout, c.Output, response, []string{"KEY", "VALUE"}, rows); err != nil {
		return err
	}
	return printReport(response)
}

// printReport prints the coverage of an answer on standard error.
func printReport(response *searchv1.SearchResponse) error {
	report := response.GetReport()
	coverage := report.GetCoverage()
	_, err := fmt.Fprintf(os.Stderr, "%d rows of snapshot %s, coverage %s, %d missing ranges, %d leaf attempts\n",
		len(response.GetRows()), report.GetSnapshotId(), strconv.FormatFloat(coverage.GetFraction(), 'f', 4, 64),
		len(coverage.GetMissing()), report.GetExtraLoad().GetAttempts())
	if err != nil {
		return err
	}
	for _, missing := range coverage.GetMissing() {
		if _, err := fmt.Fprintf(os.Stderr, "missing [%q, %q): %s\n", missing.GetRange().GetFrom(), missing.GetRange().GetTo(), missing.GetReason()); err != nil {
			return err
		}
	}
	if report.GetNextKey() != "" {
		_, err = fmt.Fprintf(os.Stderr, "next page: --from %q\n", report.GetNextKey())
	}
	return err
}
