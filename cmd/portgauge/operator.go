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

// operatorFlags are shared by the operators' commands.
type operatorFlags struct {
	Address string        `help:"Operator address of a node." default:"127.0.0.1:7401"`
	Timeout time.Duration `help:"Time allowed for the call." default:"10s"`
	Output  cli.Format    `help:"Output format: ${enum}." enum:"json,table" default:"table"`
}

// writeFlags are shared by the commands that change something.
type writeFlags struct {
	Revision int64  `help:"Revision that is to be replaced; 0 to create." default:"0"`
	ChangeID string `help:"Identity of the change; use the same one to repeat a call whose outcome is unknown."`
}

func (f *operatorFlags) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), f.Timeout)
}

// adminMethod is a method of the operators' service.
type adminMethod[Request, Response any] func(adminv1connect.AdminServiceClient, context.Context, *connect.Request[Request]) (*connect.Response[Response], error)

// call makes one call at the node of the flags, within their timeout. Its errors are failures.
func call[Request, Response any](flags *operatorFlags, method adminMethod[Request, Response], request *Request) (*Response, error) {
	ctx, cancel := flags.context()
	defer cancel()
	response, err := method(cli.AdminClient(flags.Address), ctx, connect.NewRequest(request))
	if err != nil {
		return nil, api.FailureOf(err)
	}
	return response.Msg, nil
}

// printRevision prints what was changed and the revision that accepted the change; column is the header of the name.
func printRevision(format cli.Format, message proto.Message, column, name string, revision int64) error {
	row := []string{name, strconv.FormatInt(revision, 10)}
	return cli.PrintMessage(os.Stdout, format, message, []string{column, "REVISION"}, [][]string{row})
}
