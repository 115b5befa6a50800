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
	dialTimeout         = 2 * time.Second
	connectionsPerHost  = 256
	maximumInputBytes   = 16 << 20
	standardInputMarker = "-"
)

// NewHTTPClient returns a client for one node that keeps its connections open.
func NewHTTPClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, network, address)
		},
		MaxIdleConnsPerHost: connectionsPerHost,
	}}
}

// AdminClient returns a client for a node's operator address.
func AdminClient(address string) adminv1connect.AdminServiceClient {
	return adminv1connect.NewAdminServiceClient(NewHTTPClient(), "http://"+address)
}

// SearchClient returns a client for a node's caller address.
func SearchClient(address string) searchv1connect.SearchServiceClient {
	return searchv1connect.NewSearchServiceClient(NewHTTPClient(), "http://"+address)
}

// ReadMessage reads a message as YAML or JSON from a file, or from standard input for "-". Unknown fields are an
// error.
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

// ReadDocument reads YAML or JSON from a file, or from standard input for "-", and returns JSON.
func ReadDocument(path string, input io.Reader) ([]byte, error) {
	content, err := readInput(path, input)
	if err != nil {
		return nil, err
	}
	var tree any
	if err := yaml.Unmarshal(content, &tree); err != nil {
		return nil, failure.Invalid(path, "neither YAML nor JSON: %v", err)
	}
	asJSON, err := json.Marshal(tree)
	if err != nil {
		return nil, failure.Invalid(path, "not a plain document: %v", err)
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
