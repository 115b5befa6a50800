package peer

import (
	"bytes"
	"compress/gzip"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	json "github.com/goccy/go-json"
	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/compression"
	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/memorybudget"
	"github.com/portgauge/portgauge/internal/memorybudget/memorytest"
)

// smallestMachine is the memory of the smallest machine of a site, in bytes.
const smallestMachine = 184_000_000

// newBudget returns the budget for control messages of the smallest machine.
func newBudget() *memorybudget.Budget {
	cfg := memorybudget.DefaultConfig()
	cfg.LimitBytes = smallestMachine
	return cfg.NewControl(nil)
}

// compressed returns the text, compressed.
func compress(t testing.TB, text string) []byte {
	t.Helper()
	packed, err := compression.Compress([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return packed
}

// bombs are messages of few bytes that expand or decode to many.
func bombs(t testing.TB) map[string]string {
	return map[string]string{
		"line without end":     `{"from":"`,
		"expands to zeros":     fmt.Sprintf(`{"gzip":%s}`+"\n", encoded(t, strings.Repeat("0", MaxLine))),
		"expands beyond":       fmt.Sprintf(`{"gzip":%s}`+"\n", encoded(t, strings.Repeat(" ", 2*MaxLine))),
		"decodes to changes":   fmt.Sprintf(`{"gzip":%s}`+"\n", encoded(t, `{"state":{"changes":[`+strings.Repeat("{},", 1_000_000)+"{}]}}")),
		"decodes to nothing":   fmt.Sprintf(`{"gzip":%s}`+"\n", encoded(t, `{"members":[`+strings.Repeat("null,", 1_000_000)+"null]}")),
		"decodes to strings":   fmt.Sprintf(`{"gzip":%s}`+"\n", encoded(t, `{"push":{"subtree":[`+strings.Repeat(`"",`, 5_000_000)+`""]}}`)),
		"nested without end":   strings.Repeat(`{"state":`, 100_000) + "\n",
		"lists without an end": strings.Repeat(`[`, 1_000_000) + "\n",
	}
}

// encoded returns the text, compressed, as JSON.
func encoded(t testing.TB, text string) string {
	t.Helper()
	content, err := json.Marshal(compress(t, text))
	if err != nil {
		t.Fatal(err)
	}
	return string(content)
}

// TestLinesBetweenNodesStayWithinBudget guards against lines of another node, as a call and as an answer, that take more
// memory than there is: without an end, or few bytes that expand or decode to many.
func TestLinesBetweenNodesStayWithinBudget(t *testing.T) {
	for name, sent := range bombs(t) {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			budget := newBudget()
			account := budget.Open(memorybudget.Node, "a")
			sender, receiver := net.Pipe()
			go func() {
				defer sender.Close()
				memorytest.Flood(sender, sent, "x")
			}()
			var err error
			allocated := memorytest.AllocatedBy(func() {
				_, _, err = readLine(receiver, account)
				is.NoErr(receiver.Close())
			})
			is.True(err != nil)
			is.Equal(budget.Held(), int64(0))
			is.True(allocated < smallestMachine)
		})
	}
}

// A batch or state that expands or decodes to more than there is isn't unpacked.
func TestUnpackedContentStaysWithinBudget(t *testing.T) {
	for name, text := range map[string]string{
		"zeros":   strings.Repeat("0", 2*MaxLine),
		"changes": "[" + strings.Repeat("{},", 1_000_000) + "{}]",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			budget := newBudget()
			packed := compress(t, text)
			allocated := memorytest.AllocatedBy(func() {
				reservation := budget.Open(memorybudget.Node, "a").Reserve()
				_, err := Batch(packed).Unpack(&reservation)
				is.True(err != nil)
				reservation.Release()
			})
			is.True(allocated < smallestMachine/2)
		})
	}
}

// Content is as long as it says, in one member, as every build sends it.
func TestContentOfAnotherSizeThanStatedIsRejected(t *testing.T) {
	is := is.New(t)
	var two bytes.Buffer
	for _, text := range []string{"[", "]"} {
		writer := gzip.NewWriter(&two)
		_, err := io.WriteString(writer, text)
		is.NoErr(err)
		is.NoErr(writer.Close())
	}
	_, err := Batch(two.Bytes()).Unpack(nil)
	is.True(err != nil)
	cut := compress(t, "[]")
	_, err = Batch(cut[:len(cut)-4]).Unpack(nil)
	is.True(err != nil)
}

// TestStateOfDesignSizeFits: the whole state of 3,300 nodes and 17,000 leafs, packed as any build does, is accepted on the
// smallest machine.
func TestStateOfDesignSizeFits(t *testing.T) {
	is := is.New(t)
	snapshot := catalog.Snapshot{Revision: 1}
	for number := range 17_000 {
		snapshot.Entries = append(snapshot.Entries, catalog.Entry{Key: fmt.Sprintf("leafs/i-%08x", number), Revision: int64(number), Value: fmt.Appendf(nil,
			`{"service":"service-%d","address":"10.%d.%d.7:8100","zone":"zone-%d","version":"v1.%d","capacity":8,"state":"ready","warmup_left_millis":0,"born":1780000000000}`,
			number%300, number/250, number%250, number%20, number%3)})
	}
	for number := range 3_300 {
		snapshot.Entries = append(snapshot.Entries, catalog.Entry{Key: fmt.Sprintf("nodes/front-zone-%d", number), Revision: int64(number), Value: fmt.Appendf(nil,
			`{"id":"front-zone-%d","zone":"zone-%d","address":"10.%d.%d.9:8106","tree":"10.%d.%d.9:7380","processors":0.4}`,
			number, number%20, number/250, number%250, number/250, number%250)})
	}
	snapshot.Entries = append(snapshot.Entries, catalog.Entry{Key: "routes", Value: fmt.Appendf(nil, `{"routes":[%s{}]}`,
		strings.Repeat(`{"name":"route","host":"pupu76.example","prefix":"/bapu561/","service":"service-1","timeout_millis":2000},`, 4000))})
	packed, err := PackSnapshot(snapshot)
	is.NoErr(err)
	budget := newBudget()
	account := budget.Open(memorybudget.Node, "a")
	sender, receiver := net.Pipe()
	go func() { _, _ = writeLine(sender, Message{State: &State{Initialized: true, Snapshot: packed}}) }()
	message, _, err := readLine(receiver, account)
	is.NoErr(err)
	reservation := account.Reserve()
	unpacked, err := message.State.Snapshot.Unpack(&reservation)
	is.NoErr(err)
	is.Equal(len(unpacked.Entries), len(snapshot.Entries))
	t.Logf("packed %d bytes, held %d of %d", len(packed), budget.Held(), budget.Limit())
}

// A node whose calls don't fit gets no answer, and others are answered.
func TestCallThatDoesNotFitEndsItsConnection(t *testing.T) {
	is := is.New(t)
	transport, err := Listen("127.0.0.1:0", "", func(string, int, int) {})
	is.NoErr(err)
	budget := newBudget()
	transport.SetMemory(budget)
	transport.Serve(&echo{})
	defer func() { is.NoErr(transport.Close()) }()
	connection, err := net.Dial("tcp", transport.Address())
	is.NoErr(err)
	defer connection.Close()
	is.NoErr(connection.SetDeadline(time.Now().Add(time.Minute)))
	go memorytest.Flood(connection, "", "x")
	answer, _ := io.ReadAll(connection)
	is.Equal(len(answer), 0)
	called, err := transport.Call(context.Background(), transport.Address(), Message{Pull: &Pull{After: 3}})
	is.NoErr(err)
	is.Equal(called.State.Revision, int64(3))
	called.Release()
}
