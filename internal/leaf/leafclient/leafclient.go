// Package leafclient sends searches to leafs over gRPC.
//
// A Pool owns a node's connections: one per leaf, opened on first use and closed when idle or when too many are open. A
// node needs connections to only some of the leafs. The gRPC library's configurable retries, service config and
// discovery are disabled. Its transparent retries remain enabled, because they resend only streams that never left this
// process or that the server refused unprocessed, so that the attempt did not run.
//
// Errors tell whether the attempt may have run: *Refusal and *NeverSentError mean that it did not run; after any other
// error, it may have run.
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
	"google.golang.org/protobuf/proto"

	leafv1 "github.com/portgauge/portgauge/gen/portgauge/leaf/v1"
	"github.com/portgauge/portgauge/internal/memorybudget"
)

// Pool owns the connections of a node. It is safe for concurrent use.
type Pool struct {
	cfg    Config
	memory *memorybudget.Budget // nil if it is unlimited

	mu          sync.Mutex
	connections map[string]*pooledConnection // by address
	recent      list.List                    // of *pooledConnection, most recently used first
}

// pooledConnection is the connection to one leaf.
type pooledConnection struct {
	address    string
	connection *grpc.ClientConn
	client     leafv1.LeafServiceClient
	usage      *usage
	inUse      int
	evicted    bool
	element    *list.Element
}

func New(cfg Config) *Pool {
	return &Pool{cfg: cfg, connections: map[string]*pooledConnection{}}
}

// SetMemory sets the budget for the replies of leafs. It must be called before the pool is used.
func (p *Pool) SetMemory(memory *memorybudget.Budget) { p.memory = memory }

// SearchShard runs one attempt. The memory of the reply is kept by the hold of the context. It returns a *Refusal or a
// *NeverSentError if the attempt did not run. After any other error, the leaf may have run it; a
// *memorybudget.ExceededError means that the reply didn't fit into memory.
func (p *Pool) SearchShard(ctx context.Context, address string, request *leafv1.SearchShardRequest) (*leafv1.SearchShardResponse, error) {
	conn, err := p.acquire(address)
	if err != nil {
		return nil, &NeverSentError{Cause: err}
	}
	defer p.release(conn)
	sent := &sendRecord{}
	inFlight := conn.usage.begin()
	response, err := conn.client.SearchShard(context.WithValue(ctx, sendRecordKey{}, sent), request)
	exceeded := conn.usage.end(inFlight)
	if err != nil && exceeded != nil {
		return nil, exceeded
	}
	if err != nil {
		return nil, classify(err, sent)
	}
	reservation := conn.usage.account.Reserve()
	if err := reservation.Grow(memorybudget.MessageBytes(int64(proto.Size(response)))); err != nil {
		return nil, err
	}
	memorybudget.FromContext(ctx).Keep(&reservation)
	return response, nil
}

// HasExited reports whether a leaf's address refuses connections, which means that the leaf's process has exited and
// did not merely lose a connection. It returns false if there is no reply, since the process may be alive.
func (p *Pool) HasExited(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	var dialer net.Dialer
	opened, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	// The leaf accepted the connection, so it is alive, whether or not the close succeeds.
	if err := opened.Close(); err != nil {
		return false
	}
	return false
}

// checkTimeout is how long HasExited waits. It exceeds two round trips between regions.
const checkTimeout = 200 * time.Millisecond

// classify returns the leaf's refusal if the error contains one, a NeverSentError if nothing was sent, and the error
// itself otherwise.
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

func (p *Pool) acquire(address string) (*pooledConnection, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn, found := p.connections[address]; found {
		conn.inUse++
		p.recent.MoveToFront(conn.element)
		return conn, nil
	}
	used := newUsage(p.memory.Open(memorybudget.Leaf, address))
	connection, err := p.dial(address, used)
	if err != nil {
		used.account.Close()
		return nil, err
	}
	conn := &pooledConnection{address: address, connection: connection, client: leafv1.NewLeafServiceClient(connection), usage: used, inUse: 1}
	conn.element = p.recent.PushFront(conn)
	p.connections[address] = conn
	p.evictOldest()
	return conn, nil
}

// maximumHeaderBytes is the maximum size of the headers, and of the trailers, of a reply.
const maximumHeaderBytes = 64 << 10

func (p *Pool) dial(address string, used *usage) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithIdleTimeout(p.cfg.IdleTimeout),
		grpc.WithConnectParams(connectParams),
		grpc.WithStatsHandler(sendObserver{}),
		grpc.WithMaxHeaderListSize(maximumHeaderBytes),
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			var dialer net.Dialer
			opened, err := dialer.DialContext(ctx, "tcp", address)
			if err != nil {
				return nil, err
			}
			return &meteredConn{Conn: opened, usage: used}, nil
		}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(p.cfg.MaximumReplyBytes)))
}

// evictOldest evicts the least recently used connections beyond the limit. A connection in use is closed when its last
// attempt ends.
func (p *Pool) evictOldest() {
	for p.recent.Len() > p.cfg.MaximumConnections {
		oldest := p.recent.Remove(p.recent.Back()).(*pooledConnection)
		delete(p.connections, oldest.address)
		oldest.evicted = true
		if oldest.inUse == 0 {
			closeConnection(oldest)
		}
	}
}

func (p *Pool) release(conn *pooledConnection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conn.inUse--
	if conn.evicted && conn.inUse == 0 {
		closeConnection(conn)
	}
}

func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conn := range p.connections {
		delete(p.connections, address)
		closeConnection(conn)
	}
	p.recent.Init()
}

func closeConnection(conn *pooledConnection) {
	conn.usage.account.Close()
	// Close fails only if the connection is already closed.
	if err := conn.connection.Close(); err != nil {
		return
	}
}
