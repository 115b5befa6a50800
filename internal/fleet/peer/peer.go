// Package peer sends messages between nodes as JSON lines: over UDP if a message is small and may be lost, and over TCP
// if it needs an answer.
//
// A node has one peer address for both protocols. There are no permanent connections between nodes: a call opens a
// connection, sends a line, reads a line and closes the connection, since nodes call random peers and changes are rare.
//
// A SocketTransport owns the sockets and the goroutines that read them, until Close. It passes messages to its Handler
// without interpreting them. A datagram may be lost without an error; a call returns the errors of the network.
package peer

import "context"

// Handler handles the messages that a node receives. It must be safe for concurrent use.
type Handler interface {
	// HandleDatagram handles a datagram. If the message needs an answer, the handler sends another datagram.
	HandleDatagram(message Message)
	// HandleCall returns the answer to a call.
	HandleCall(ctx context.Context, message Message) Message
}

// Transport sends messages to other nodes.
type Transport interface {
	// Address returns the node's own peer address.
	Address() string
	// Send sends a datagram, which may be lost without an error.
	Send(address string, message Message)
	// Call sends a message and waits for the answer.
	Call(ctx context.Context, address string, message Message) (Message, error)
}
