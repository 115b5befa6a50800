package peer

import (
	"context"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/config/catalog"
)

// echo is a Handler that answers a pull with its revision and records datagrams.
type echo struct {
	mu        sync.Mutex
	datagrams []Message
}

func (e *echo) HandleDatagram(message Message) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.datagrams = append(e.datagrams, message)
}

func (e *echo) HandleCall(_ context.Context, message Message) Message {
	return Message{State: &State{Revision: message.Pull.After, Changes: []catalog.Change{{Entry: catalog.Entry{Key: strings.Repeat("k", 5000)}}}}}
}

func listenForTest(t *testing.T, handler Handler) *SocketTransport {
	t.Helper()
	transport, err := Listen("127.0.0.1:0", "", func(string, int, int) {})
	if err != nil {
		t.Fatal(err)
	}
	transport.Serve(handler)
	t.Cleanup(func() {
		if err := transport.Close(); err != nil {
			t.Error(err)
		}
	})
	return transport
}

func TestCallsAndDatagramsArrive(t *testing.T) {
	is := is.New(t)
	handler := &echo{}
	first, second := listenForTest(t, &echo{}), listenForTest(t, handler)
	answer, err := first.Call(t.Context(), second.Address(), Message{Pull: &Pull{After: 42}})
	is.NoErr(err)
	is.Equal(answer.State.Revision, int64(42))
	is.Equal(len(answer.State.Changes[0].Entry.Key), 5000) // the answer exceeds compressAbove, so it was compressed on the way
	first.Send(second.Address(), Message{Probe: &Probe{Sequence: 7}})
	for range 200 {
		handler.mu.Lock()
		count := len(handler.datagrams)
		handler.mu.Unlock()
		if count == 1 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(handler.datagrams[0].Probe.Sequence, uint64(7))
	is.Equal(handler.datagrams[0].From, first.Address())
}

// Malformed input on the sockets is ignored, and the transport still answers calls.
func TestMalformedInputIsIgnored(t *testing.T) {
	is := is.New(t)
	transport := listenForTest(t, &echo{})
	connection, err := net.Dial("tcp", transport.Address())
	is.NoErr(err)
	_, err = connection.Write([]byte("GET / HTTP/1.1\n"))
	is.NoErr(err)
	buffer := make([]byte, 1)
	_, err = connection.Read(buffer)
	is.True(err != nil) // the transport closed the connection
	datagrams, err := net.Dial("udp", transport.Address())
	is.NoErr(err)
	_, err = datagrams.Write([]byte{0xff, 0x00})
	is.NoErr(err)
	answer, err := transport.Call(t.Context(), transport.Address(), Message{Pull: &Pull{After: 1}})
	is.NoErr(err)
	is.Equal(answer.State.Revision, int64(1))
}

func TestBatchRoundTrip(t *testing.T) {
	is := is.New(t)
	changes := []catalog.Change{{Entry: catalog.Entry{Key: "a", Value: []byte(`{"x":1}`), Revision: 3}, Previous: 2}}
	batch, err := PackBatch(changes)
	is.NoErr(err)
	unpacked, err := batch.Unpack(nil)
	is.NoErr(err)
	is.Equal(unpacked, changes)
	_, err = Batch("garbage").Unpack(nil)
	is.True(err != nil)
}

func FuzzDecodeLine(f *testing.F) {
	line, err := encodeLine(Message{Pull: &Pull{After: 1}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(line)
	f.Add([]byte(`{"gzip":"H4sIAAAAAAAA/wMAAAAAAAAAAAA="}`))
	f.Fuzz(func(_ *testing.T, line []byte) {
		// Decoding must not panic.
		_, _ = decodeLine(line, nil)
		_, _ = Batch(line).Unpack(nil)
	})
}
