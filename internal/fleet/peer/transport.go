package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	json "github.com/goccy/go-json"

	"github.com/portgauge/portgauge/internal/memorybudget"
)

// Maximum sizes of messages in bytes. A datagram that exceeds its maximum is not sent.
const (
	MaxDatagram = 1400
	MaxLine     = 32 << 20
)

// Estimated overhead of a message in bytes, for the accounting of control traffic: the IP and UDP headers of a datagram,
// and the packets that open, acknowledge and close a TCP connection.
const (
	datagramOverhead = 28
	callOverhead     = 480
)

// callTimeout bounds how long the receiver handles a call.
const callTimeout = 5 * time.Second

// Names of the transports, as passed to the meter.
const (
	meterDatagram = "udp"
	meterCall     = "tcp"
)

// Meter is called with the size in bytes of each message sent or received, including the overhead.
type Meter func(transport string, sent, received int)

// SocketTransport implements Transport over UDP and TCP sockets.
type SocketTransport struct {
	datagrams *net.UDPConn
	listener  *net.TCPListener
	meter     Meter
	advertise string
	memory    *memorybudget.Budget // nil if it is unlimited

	handler Handler
	ctx     context.Context
	cancel  context.CancelFunc
	done    sync.WaitGroup
}

var _ Transport = (*SocketTransport)(nil)

// Listen opens the UDP and TCP sockets of an IP address and port. If the port is 0, it chooses one free port for both.
// advertise is the address that other nodes use; if empty, it is the address listened on.
func Listen(address, advertise string, meter Meter) (*SocketTransport, error) {
	const attempts = 20 // the free TCP port may be in use for UDP
	var lastErr error
	for range attempts {
		transport, err := listenOnce(address, meter)
		if err == nil {
			if transport.advertise = advertise; advertise == "" {
				transport.advertise = transport.listener.Addr().String()
			}
			return transport, nil
		}
		lastErr = err
	}
	return nil, merry.Prepend(lastErr, "listen on peer address "+address)
}

func listenOnce(address string, meter Meter) (*SocketTransport, error) {
	tcpAddress, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, err
	}
	listener, err := net.ListenTCP("tcp", tcpAddress)
	if err != nil {
		return nil, err
	}
	port := listener.Addr().(*net.TCPAddr).Port
	datagrams, err := net.ListenUDP("udp", &net.UDPAddr{IP: tcpAddress.IP, Port: port})
	if err != nil {
		return nil, errors.Join(err, listener.Close())
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &SocketTransport{datagrams: datagrams, listener: listener, meter: meter, ctx: ctx, cancel: cancel}, nil
}

// SetMemory sets the budget for calls and answers. It must be called before the transport is used.
func (t *SocketTransport) SetMemory(memory *memorybudget.Budget) { t.memory = memory }

// Serve starts to receive messages and passes them to the handler.
func (t *SocketTransport) Serve(handler Handler) {
	t.handler = handler
	t.done.Add(2)
	go t.receiveDatagrams()
	go t.acceptCalls()
}

func (t *SocketTransport) Address() string { return t.advertise }

// Close closes the sockets and waits until all messages in progress are handled.
func (t *SocketTransport) Close() error {
	t.cancel()
	err := errors.Join(t.datagrams.Close(), t.listener.Close())
	t.done.Wait()
	return err
}

func (t *SocketTransport) Send(address string, message Message) {
	message.From = t.advertise
	line, err := json.Marshal(message)
	if err != nil || len(line) > MaxDatagram {
		return
	}
	target, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return
	}
	if _, err := t.datagrams.WriteToUDP(line, target); err == nil {
		t.meter(meterDatagram, len(line)+datagramOverhead, 0)
	}
}

func (t *SocketTransport) Call(ctx context.Context, address string, message Message) (Message, error) {
	message.From = t.advertise
	var dialer net.Dialer
	connection, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return Message{}, merry.Prepend(err, "call peer")
	}
	defer closeQuietly(connection)
	stop := context.AfterFunc(ctx, func() { closeQuietly(connection) })
	defer stop()
	sent, err := writeLine(connection, message)
	if err != nil {
		return Message{}, merry.Prepend(err, "call peer")
	}
	account := t.memory.OpenHost(memorybudget.Node, connection.RemoteAddr().String())
	defer account.Close()
	answer, received, err := readLine(connection, account)
	if err != nil {
		return Message{}, merry.Prepend(err, "call peer")
	}
	t.meter(meterCall, sent+callOverhead, received)
	resetOnClose(connection)
	return answer, nil
}

// resetOnClose lets Close reset the connection. That is safe because the exchange is complete and no data is in flight.
// A normal close would keep the port in TIME_WAIT for a minute.
func resetOnClose(connection net.Conn) {
	if tcp, isTCP := connection.(*net.TCPConn); isTCP {
		if err := tcp.SetLinger(0); err != nil {
			return
		}
	}
}

func (t *SocketTransport) receiveDatagrams() {
	defer t.done.Done()
	buffer := make([]byte, MaxDatagram+1)
	for {
		size, _, err := t.datagrams.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || size > MaxDatagram {
			continue
		}
		var message Message
		if json.Unmarshal(buffer[:size], &message) == nil {
			t.meter(meterDatagram, 0, size+datagramOverhead)
			t.handler.HandleDatagram(message)
		}
	}
}

func (t *SocketTransport) acceptCalls() {
	defer t.done.Done()
	for {
		connection, err := t.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		t.done.Add(1)
		go t.answer(connection)
	}
}

func (t *SocketTransport) answer(connection net.Conn) {
	defer t.done.Done()
	defer closeQuietly(connection)
	ctx, cancel := context.WithTimeout(t.ctx, callTimeout)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { closeQuietly(connection) })
	defer stop()
	account := t.memory.OpenHost(memorybudget.Node, connection.RemoteAddr().String())
	defer account.Close()
	message, received, err := readLine(connection, account)
	if err != nil {
		return
	}
	defer message.Release()
	sent, err := writeLine(connection, t.handler.HandleCall(ctx, message))
	if err == nil {
		t.meter(meterCall, sent, received+callOverhead)
	}
}

// closeQuietly closes a connection that is no longer needed and ignores errors; it may be called twice.
func closeQuietly(connection io.Closer) {
	if err := connection.Close(); err != nil {
		return
	}
}
