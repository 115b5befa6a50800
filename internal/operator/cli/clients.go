package cli

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"go.yaml.in/yaml/v3"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/portgauge/portgauge/gen/portgauge/admin/v1/adminv1connect"
	"github.com/portgauge/portgauge/gen/portgauge/search/v1/searchv1connect"
	"github.com/portgauge/portgauge/internal/failure"
)

const (
	dialTimeout            = 2 * time.Second
	idleConnectionsPerHost = 256
	maximumInputBytes      = 16 << 20 // of standard input; the rest is ignored
	standardInputMarker    = "-"
)

// NewHTTPClient returns a client that keeps enough idle connections for load on a single node.
func NewHTTPClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, network, address)
		},
		MaxIdleConnsPerHost: idleConnectionsPerHost,
	}}
}

// AdminClient returns a client for the operator address of a node.
func AdminClient(address string) adminv1connect.AdminServiceClient {
	return adminv1connect.NewAdminServiceClient(NewHTTPClient(), "http://"+address)
}

// SearchClient returns a client for the caller address of a node.
func SearchClient(address string) searchv1connect.SearchServiceClient {
	return searchv1connect.NewSearchServiceClient(NewHTTPClient(), "http://"+address)
}

// ReadMessage reads a message in YAML or JSON from a file, or from standard input if the path is "-". Unknown fields are
// errors.
func ReadMessage(path string, input io.Reader, message proto.Message) error {
	asJSON, err := ReadDocument(path, input)
	if err != nil {
		return err
	}
	if err := protojson.Unmarshal(asJSON, message); err != nil {
		return failure.Invalid(path, "%v", err)
	}
	return nil
}

// ReadDocument reads YAML or JSON from a file, or from standard input if the path is "-", and returns it as JSON.
func ReadDocument(path string, input io.Reader) ([]byte, error) {
	content, err := readInput(path, input)
	if err != nil {
		return nil, err
	}
	var document any
	if err := yaml.Unmarshal(content, &document); err != nil {
		return nil, failure.Invalid(path, "is neither valid YAML nor valid JSON: %v", err)
	}
	asJSON, err := json.Marshal(document)
	if err != nil {
		return nil, failure.Invalid(path, "has values that JSON can't represent: %v", err)
	}
	return asJSON, nil
}

func readInput(path string, input io.Reader) ([]byte, error) {
	if path == standardInputMarker {
		return io.ReadAll(io.LimitReader(input, maximumInputBytes))
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, failure.Invalid(path, "%v", err)
	}
	return content, nil
}
