// Package forwarder forwards connections between processes of the lab and can cut them: over TCP for any protocol, and over
// TCP and UDP for the peer protocol, whose messages name their sender. A Forwarder owns its sockets and goroutines until
// Close.
package forwarder

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"net"
	"sync"
)

// Gate reports whether a connection or message of a sender may pass. It is called for each.
type Gate func(from string) bool

// Forwarder forwards from one address to another.
type Forwarder struct {
	target    string
	listener  net.Listener
	datagrams *net.UDPConn
	gate      Gate
	byLine    bool // the sender is read from the first line

	mutex sync.Mutex
	open  map[net.Conn]string // by sender
}

// NewTCP returns a forwarder of TCP connections. It calls the gate with an empty sender.
func NewTCP(address, target string, gate Gate) (*Forwarder, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	forwarder := &Forwarder{target: target, listener: listener, gate: gate, open: map[net.Conn]string{}}
	go forwarder.accept()
	return forwarder, nil
}

// NewPeer returns a forwarder of the peer protocol. It calls the gate with the peer address that a message names as its
// sender.
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
	forwarder := &Forwarder{target: target, listener: listener, datagrams: datagrams, gate: gate, byLine: true, open: map[net.Conn]string{}}
	go forwarder.accept()
	go forwarder.passDatagrams()
	return forwarder, nil
}

// Close closes the sockets and all connections.
func (f *Forwarder) Close() {
	closeQuietly(f.listener)
	if f.datagrams != nil {
		closeQuietly(f.datagrams)
	}
	f.drop(func(string) bool { return true })
}

// Recheck closes the open connections that the gate doesn't let pass any more.
func (f *Forwarder) Recheck() {
	f.drop(func(sender string) bool { return !f.gate(sender) })
}

func (f *Forwarder) drop(unwanted func(sender string) bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
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
		go f.pass(connection)
	}
}

func (f *Forwarder) pass(incoming net.Conn) {
	defer closeQuietly(incoming)
	reader := bufio.NewReader(incoming)
	sender, first := "", []byte(nil)
	if f.byLine {
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
	f.keep(incoming, sender)
	defer f.forget(incoming)
	go func() {
		copyQuietly(outgoing, reader)
		closeWrite(outgoing)
	}()
	copyQuietly(incoming, outgoing)
}

func (f *Forwarder) keep(connection net.Conn, sender string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.open[connection] = sender
}

func (f *Forwarder) forget(connection net.Conn) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	delete(f.open, connection)
}

// maximumDatagram is larger than any datagram of the peer protocol.
const maximumDatagram = 64 << 10

func (f *Forwarder) passDatagrams() {
	target, err := net.ResolveUDPAddr("udp", f.target)
	if err != nil {
		return
	}
	buffer := make([]byte, maximumDatagram)
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

// senderOf returns the sender's peer address in a message. Compressed lines hide it; they have an empty sender.
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
