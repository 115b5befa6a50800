package main

import (
	"context"
	"os"
	"strconv"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"github.com/portgauge/portgauge/gen/portgauge/admin/v1/adminv1connect"
	"github.com/portgauge/portgauge/internal/operator/api"
	"github.com/portgauge/portgauge/internal/operator/cli"
)

// operatorFlags are the flags of all operator commands.
type operatorFlags struct {
	Address string        `help:"Operator address of a node." default:"127.0.0.1:7401"`
	Timeout time.Duration `help:"Timeout of the call." default:"10s"`
	Output  cli.Format    `help:"Output format: ${enum}." enum:"json,table" default:"table"`
}

// writeFlags are the flags of the commands that change the configuration.
type writeFlags struct {
	Revision int64  `help:"Current revision of what is changed; 0 to create it." default:"0"`
	ChangeID string `help:"ID of the change; made by the node if empty. Repeat a call whose outcome is unknown with the same ID."`
}

func (f *operatorFlags) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), f.Timeout)
}

// adminMethod is a method of AdminService.
type adminMethod[Request, Response any] func(adminv1connect.AdminServiceClient, context.Context, *connect.Request[Request]) (*connect.Response[Response], error)

// call calls a method on the node at flags.Address, within flags.Timeout. Errors are failures.
func call[Request, Response any](flags *operatorFlags, method adminMethod[Request, Response], request *Request) (*Response, error) {
	ctx, cancel := flags.context()
	defer cancel()
	response, err := method(cli.AdminClient(flags.Address), ctx, connect.NewRequest(request))
	if err != nil {
		return nil, api.FailureOf(err)
	}
	return response.Msg, nil
}

// printRevision prints the name of what was changed, under the given column header, and the revision of the change.
func printRevision(format cli.Format, message proto.Message, column, name string, revision int64) error {
	row := []string{name, strconv.FormatInt(revision, 10)}
	return cli.PrintMessage(os.Stdout, format, message, []string{column, "REVISION"}, [][]string{row})
}
