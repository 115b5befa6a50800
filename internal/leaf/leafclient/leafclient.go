// Package leafclient sends searches to leafs over gRPC.
//
// A Pool owns the connections of a node: one per leaf, opened on first use and closed when idle or when too many are
// open, since a node never needs a connection to every leaf. The library's own retries, service
// config and discovery are off. Its transparent retries remain on: they resend only streams that
// never left this process or that the server refused unprocessed, which is proof that the
// attempt did not run.
//
// Errors say what is known about the execution: *Refusal and *NeverSentError mean that the attempt did not run, any
// other error that it may have.
package leafclient

import (
	"container/list"
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	leafv1 "github.com/portgauge/portgauge/gen/portgauge/leaf/v1"
)

// Pool owns the connections of a node; safe for concurrent use.
type Pool struct {
	config Config

	mu          sync.Mutex
	connections map[string]*pooled // by address
	recent      list.List          // of *pooled, most recently used first
}

// pooled is the connection to one leaf.
type pooled struct {
	address    string
	connection *grpc.ClientConn
	client     leafv1.LeafServiceClient
	users      int
	evicted    bool
	element    *list.Element
}

// New returns a pool.
func New(config Config) *Pool {
	return &Pool{config: config, connections: map[string]*pooled{}}
}

// SearchShard runs one attempt. Its error is a *Refusal, a *NeverSentError, or any other
// error, which says nothing about whether the leaf ran it.
func (p *Pool) SearchShard(ctx context.Context, address string, request *leafv1.SearchShardRequest) (*leafv1.SearchShardResponse, error) {
	conn, err := p.acquire(address)
	if err != nil {
		return nil, &NeverSentError{Cause: err}
	}
	defer p.release(conn)
	sent := &sendRecord{}
	response, err := conn.client.SearchShard(context.WithValue(ctx, sendRecordKey{}, sent), request)
	if err != nil {
		return nil, classify(err, sent)
	}
	return response, nil
}

// HasExited reports whether no process listens at a leaf's address any more: then the leaf has exited, and did not just
// lose a connection. A silent leaf may be alive.
func (p *Pool) HasExited(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	var dialer net.Dialer
	opened, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	// The connection only showed that the leaf is alive.
	if err := opened.Close(); err != nil {
		return false
	}
	return false
}

// checkTimeout is how long HasExited waits: two round trips between regions and some more.
const checkTimeout = 200 * time.Millisecond

// classify returns the leaf's refusal if the error has one, a NeverSentError if nothing was sent, and else the error.
func classify(err error, sent *sendRecord) error {
	if state, isStatus := status.FromError(err); isStatus {
		for _, detail := range state.Details() {
			if refusal, isRefusal := detail.(*leafv1.LeafRefusal); isRefusal {
				return &Refusal{Detail: refusal}
			}
		}
	}
	if !sent.headers.Load() {
		return &NeverSentError{Cause: err}
	}
	return err
}

func (p *Pool) acquire(address string) (*pooled, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn, found := p.connections[address]; found {
		conn.users++
		p.recent.MoveToFront(conn.element)
		return conn, nil
	}
	connection, err := p.dial(address)
	if err != nil {
		return nil, err
	}
	conn := &pooled{address: address, connection: connection, client: leafv1.NewLeafServiceClient(connection), users: 1}
	conn.element = p.recent.PushFront(conn)
	p.connections[address] = conn
	p.evictOldest()
	return conn, nil
}

func (p *Pool) dial(address string) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithIdleTimeout(p.config.IdleTimeout),
		grpc.WithConnectParams(connectParameters),
		grpc.WithStatsHandler(sendObserver{}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(p.config.MaximumReplyBytes)))
}

// evictOldest closes the least recently used connections beyond the limit; one in use is
// closed when its last attempt ends.
func (p *Pool) evictOldest() {
	for p.recent.Len() > p.config.MaximumConnections {
		oldest := p.recent.Remove(p.recent.Back()).(*pooled)
		delete(p.connections, oldest.address)
		oldest.evicted = true
		if oldest.users == 0 {
			closeConnection(oldest)
		}
	}
}

func (p *Pool) release(conn *pooled) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conn.users--
	if conn.evicted && conn.users == 0 {
		closeConnection(conn)
	}
}

// Close closes every connection.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conn := range p.connections {
		delete(p.connections, address)
		closeConnection(conn)
	}
	p.recent.Init()
}

func closeConnection(conn *pooled) {
	// Closing a client connection fails only when it is closed already.
	if err := conn.connection.Close(); err != nil {
		return
	}
}
