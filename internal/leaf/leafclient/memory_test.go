package leafclient

import (
	"context"
	"errors"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"

	leafv1 "github.com/portgauge/portgauge/gen/portgauge/leaf/v1"
	"github.com/portgauge/portgauge/internal/memorybudget"
	"github.com/portgauge/portgauge/internal/memorybudget/memorytest"
)

const testBudgetBytes = 16 << 20

// largeLeaf answers with large replies, and with large metadata if asked for it.
type largeLeaf struct {
	leafv1.UnimplementedLeafServiceServer
	replyBytes, headerBytes int
}

func (l *largeLeaf) SearchShard(ctx context.Context, request *leafv1.SearchShardRequest) (*leafv1.SearchShardResponse, error) {
	if l.headerBytes > 0 {
		if err := grpc.SetHeader(ctx, metadata.Pairs("x", strings.Repeat("h", l.headerBytes))); err != nil {
			return nil, err
		}
	}
	return &leafv1.SearchShardResponse{Identity: &leafv1.AttemptIdentity{RequestId: strings.Repeat("r", l.replyBytes)}}, nil
}

func startLargeLeaf(t *testing.T, leaf *largeLeaf) (address string) {
	t.Helper()
	listener := listen(t)
	server := grpc.NewServer()
	leafv1.RegisterLeafServiceServer(server, leaf)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	return listener.Addr().String()
}

func newLimitedPool(t *testing.T) (*Pool, *memorybudget.Budget) {
	budget := memorybudget.Config{LimitBytes: 1 << 40, RequestBytes: testBudgetBytes}.NewRequests(nil)
	pool := New(DefaultConfig())
	pool.SetMemory(budget)
	t.Cleanup(pool.Close)
	return pool, budget
}

// TestRepliesOfLeafsStayWithinBudget guards against replies that are within their limit, but together fill the memory of a
// node. The attempts may have run, and another leaf is still used.
func TestRepliesOfLeafsStayWithinBudget(t *testing.T) {
	is := is.New(t)
	pool, budget := newLimitedPool(t)
	bad := startLargeLeaf(t, &largeLeaf{replyBytes: 1 << 20})
	sound := startLargeLeaf(t, &largeLeaf{replyBytes: 1000})
	var hold memorybudget.Hold
	ctx, cancel := context.WithTimeout(memorybudget.NewContext(t.Context(), &hold), time.Minute)
	defer cancel()
	var attempts sync.WaitGroup
	var mu sync.Mutex
	answered, refused := 0, 0
	for range 24 {
		attempts.Go(func() {
			_, err := pool.SearchShard(ctx, bad, &leafv1.SearchShardRequest{})
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil:
				answered++
			case errors.As(err, new(*memorybudget.ExceededError)):
				refused++
			default:
				t.Error(err)
			}
		})
	}
	attempts.Wait()
	is.Equal(answered+refused, 24)
	is.True(refused > 0)
	is.True(budget.Held() <= testBudgetBytes/2)
	_, err := pool.SearchShard(ctx, sound, &leafv1.SearchShardRequest{})
	is.NoErr(err)
	hold.Release()
	is.Equal(budget.Held(), int64(0))
	_, err = pool.SearchShard(ctx, bad, &leafv1.SearchShardRequest{})
	is.NoErr(err)
}

// Metadata over its limit, and bytes without an end, end the attempt.
func TestMetadataAndBytesWithoutEndAreBounded(t *testing.T) {
	is := is.New(t)
	pool, budget := newLimitedPool(t)
	endless := listen(t)
	defer endless.Close()
	go func() {
		for {
			connection, err := endless.Accept()
			if err != nil {
				return
			}
			go func(connection net.Conn) {
				defer connection.Close()
				memorytest.Flood(connection, "", "\x00\x00\x04\x00\x00\x00\x00\x00\x00") // frames without content
			}(connection)
		}
	}()
	for _, address := range []string{startLargeLeaf(t, &largeLeaf{headerBytes: 2 * maximumHeaderBytes}), endless.Addr().String()} {
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		allocated := memorytest.AllocatedBy(func() {
			_, err := pool.SearchShard(ctx, address, &leafv1.SearchShardRequest{})
			is.True(err != nil)
		})
		cancel()
		is.True(allocated < 16*testBudgetBytes)
		is.Equal(budget.Held(), int64(0))
	}
}
