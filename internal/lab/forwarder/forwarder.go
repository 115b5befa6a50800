// Package forwarder forwards connections between processes of the lab and can block them. It supports any protocol over TCP,
// and the peer protocol, whose messages contain their sender, over TCP and UDP. A Forwarder owns its sockets and goroutines
// until Close.
package forwarder

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"net"
	"sync"
)

// Gate reports whether a connection or message from a sender may pass. It is called for each connection and message.
type Gate func(from string) bool

// Forwarder forwards connections and messages from one address to another.
type Forwarder struct {
	target             string
	listener           net.Listener
	datagrams          *net.UDPConn
	gate               Gate
	firstLineHasSender bool // whether the first line of a connection contains the sender

	mu   sync.Mutex
	open map[net.Conn]string // to their senders
}

// NewTCP returns a forwarder for TCP connections. It calls the gate with an empty sender.
func NewTCP(address, target string, gate Gate) (*Forwarder, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	forwarder := &Forwarder{target: target, listener: listener, gate: gate, open: map[net.Conn]string{}}
	go forwarder.accept()
	return forwarder, nil
}

// NewPeer returns a forwarder for the peer protocol. It calls the gate with the peer address of the sender in the message.
func NewPeer(address, target string, gate Gate) (*Forwarder, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	udpAddress, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, errors.Join(err, listener.Close())
	}
	datagrams, err := net.ListenUDP("udp", udpAddress)
	if err != nil {
		return nil, errors.Join(err, listener.Close())
	}
	forwarder := &Forwarder{target: target, listener: listener, datagrams: datagrams, gate: gate, firstLineHasSender: true, open: map[net.Conn]string{}}
	go forwarder.accept()
	go forwarder.forwardDatagrams()
	return forwarder, nil
}

// Close closes the sockets and all connections.
func (f *Forwarder) Close() {
	closeQuietly(f.listener)
	if f.datagrams != nil {
		closeQuietly(f.datagrams)
	}
	f.closeConnections(func(string) bool { return true })
}

// Recheck closes the open connections that the gate no longer allows.
func (f *Forwarder) Recheck() {
	f.closeConnections(func(sender string) bool { return !f.gate(sender) })
}

func (f *Forwarder) closeConnections(unwanted func(sender string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for connection, sender := range f.open {
		if unwanted(sender) {
			closeQuietly(connection)
			delete(f.open, connection)
		}
	}
}

func (f *Forwarder) accept() {
	for {
		connection, err := f.listener.Accept()
		if err != nil {
			return
		}
		go f.forward(connection)
	}
}

func (f *Forwarder) forward(incoming net.Conn) {
	defer closeQuietly(incoming)
	reader := bufio.NewReader(incoming)
	sender, first := "", []byte(nil)
	if f.firstLineHasSender {
		line, err := reader.ReadBytes('\n')
		if err != nil {
			return
		}
		sender, first = senderOf(line), line
	}
	if !f.gate(sender) {
		return
	}
	outgoing, err := net.Dial("tcp", f.target)
	if err != nil {
		return
	}
	defer closeQuietly(outgoing)
	if _, err := outgoing.Write(first); err != nil {
		return
	}
	f.track(incoming, sender)
	defer f.untrack(incoming)
	go func() {
		copyQuietly(outgoing, reader)
		closeWrite(outgoing)
	}()
	copyQuietly(incoming, outgoing)
}

func (f *Forwarder) track(connection net.Conn, sender string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.open[connection] = sender
}

func (f *Forwarder) untrack(connection net.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.open, connection)
}

// maxDatagramBytes is larger than any datagram of the peer protocol.
const maxDatagramBytes = 64 << 10

func (f *Forwarder) forwardDatagrams() {
	target, err := net.ResolveUDPAddr("udp", f.target)
	if err != nil {
		return
	}
	buffer := make([]byte, maxDatagramBytes)
	for {
		size, _, err := f.datagrams.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || !f.gate(senderOf(buffer[:size])) {
			continue
		}
		if _, err := f.datagrams.WriteToUDP(buffer[:size], target); errors.Is(err, net.ErrClosed) {
			return
		}
	}
}

// senderOf returns the peer address of the sender in a message. It is empty for compressed messages.
func senderOf(line []byte) string {
	var message struct {
		From string `json:"from"`
	}
	if err := json.Unmarshal(line, &message); err != nil {
		return ""
	}
	return message.From
}

func copyQuietly(target io.Writer, source io.Reader) {
	if _, err := io.Copy(target, source); err != nil {
		return
	}
}

func closeWrite(connection net.Conn) {
	if tcp, isTCP := connection.(*net.TCPConn); isTCP {
		if err := tcp.CloseWrite(); err != nil {
			return
		}
	}
}

func closeQuietly(closer io.Closer) {
	if err := closer.Close(); err != nil {
		return
	}
}
