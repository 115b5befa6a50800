package servingtree

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/memorybudget"
	"github.com/portgauge/portgauge/internal/memorybudget/memorytest"
)

const testBudgetBytes = 8 << 20

func newBudget() *memorybudget.Budget {
	return memorybudget.Config{LimitBytes: 1 << 40, RequestBytes: testBudgetBytes}.NewRequests(nil)
}

// isReleased waits until nothing is held of a budget.
func isReleased(budget *memorybudget.Budget) bool {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if budget.Held() == 0 {
			return true
		}
	}
	return false
}

// TestLinesOfRootsStayWithinBudget guards against lines of other nodes that fill the memory of an intermediate: lines
// without an end on many connections, and short lines of which much is decoded.
func TestLinesOfRootsStayWithinBudget(t *testing.T) {
	for name, repeated := range map[string]string{
		"line without end": "x",
		"many headers":     `{"v":1,"n":1,"ask":{"header":{"a":[` + strings.Repeat(`"",`, 300_000) + `""]}}}` + "\n",
		"many shards":      `{"v":1,"n":1,"ask":{"shards":[` + strings.Repeat(`0,`, 1_000_000) + `0]}}` + "\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			budget := newBudget()
			listener := listen(t)
			server := NewServer(testConfig(), handler(func(ctx context.Context, request Request, send func(Answer)) Reply {
				if request.ID == "other" {
					return echo(ctx, request, send)
				}
				return untilCancelled(ctx, request, send)
			}))
			server.SetMemory(budget)
			go server.Serve(listener)
			allocated := memorytest.AllocatedBy(func() {
				for range 5 {
					connection, err := net.Dial("tcp", listener.Addr().String())
					is.NoErr(err)
					defer connection.Close()
					is.NoErr(connection.SetDeadline(time.Now().Add(300 * time.Millisecond)))
					memorytest.Flood(connection, "", repeated)
					is.True(budget.Held() <= testBudgetBytes/2)
				}
			})
			is.True(allocated < 40*testBudgetBytes)
			ended := result(t, newClient(t, testConfig()).Start(listener.Addr().String(), Request{ID: "other"}))
			is.NoErr(ended.Err)
			is.Equal(ended.Reply.Answer.Stamps, []string{"other"})
			_ = server.Shutdown(canceledContext()) // the requests are cut off
			is.True(isReleased(budget))
		})
	}
}

// canceledContext returns a context that is done: Shutdown then closes the connections at once.
func canceledContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// TestRepliesOfIntermediateStayWithinBudget guards against an intermediate whose reply has no end, or takes more memory than
// there is: the call ends as one whose request may have run.
func TestRepliesOfIntermediateStayWithinBudget(t *testing.T) {
	for name, reply := range map[string]string{
		"without end": `{"v":1,"n":1,"reply":{"answer":{"stamps":["`,
		"many stamps": `{"v":1,"n":1,"reply":{"answer":{"stamps":[` + strings.Repeat(`"",`, 400_000) + `""]}}}` + "\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			listener := listen(t)
			go func() {
				for {
					connection, err := listener.Accept()
					if err != nil {
						return
					}
					go func() {
						defer connection.Close()
						if _, err := io.ReadFull(connection, make([]byte, 10)); err == nil {
							memorytest.Flood(connection, reply, "x")
						}
					}()
				}
			}()
			budget := newBudget()
			client := newClient(t, testConfig())
			client.SetMemory(budget)
			var ended Result
			allocated := memorytest.AllocatedBy(func() { ended = result(t, client.Start(listener.Addr().String(), Request{ID: "a"})) })
			is.True(errors.As(ended.Err, new(*BrokenError)))
			is.True(errors.As(ended.Err, new(*memorybudget.TooLargeError)) || errors.As(ended.Err, new(*memorybudget.ExceededError)))
			is.True(allocated < 4*testBudgetBytes)
			is.True(isReleased(budget))
		})
	}
}

// The longest lines that a node of an older build sends are accepted, and held until the request ends at the root.
func TestLongestLinesAreAccepted(t *testing.T) {
	is := is.New(t)
	cfg := testConfig()
	records := make([]byte, 3_000_000) // 4 MB in base64, just under MaximumLineBytes
	listener := listen(t)
	server := NewServer(cfg, handler(func(context.Context, Request, func(Answer)) Reply {
		return Reply{Answer: &Answer{Stamps: []string{"s"}, Records: records}}
	}))
	memory := memorybudget.DefaultConfig()
	memory.LimitBytes = 184_000_000 // the smallest machine
	server.SetMemory(memory.NewRequests(nil))
	go server.Serve(listener)
	budget := memory.NewRequests(nil)
	client := newClient(t, cfg)
	client.SetMemory(budget)
	var held memorybudget.Hold
	ended := result(t, client.Start(listener.Addr().String(), Request{ID: "a", Body: records, HasBody: true, Memory: &held}))
	is.NoErr(ended.Err)
	is.Equal(len(ended.Reply.Answer.Records), len(records))
	is.True(budget.Held() >= int64(len(records)))
	held.Release()
	is.Equal(budget.Held(), int64(0))
}
