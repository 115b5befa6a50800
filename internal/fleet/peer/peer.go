// Package peer carries messages between nodes: JSON lines, over UDP for small messages that may be lost and over
// TCP for calls that need an answer.
//
// A node has one peer address for both. There are no permanent connections between nodes: a call opens one,
// sends a line, reads a line and closes it, since nodes call random peers and changes are rare.
//
// A SocketTransport owns the sockets and the goroutines that read them, until Close. It passes messages to its
// Handler and knows nothing of what they mean. Datagrams are lost without an error; the errors of calls are
// those of the network.
package peer

import "context"

// Handler handles the messages that arrive at a node. It is called concurrently.
type Handler interface {
	// HandleDatagram handles a message that expects no answer on the same path.
	HandleDatagram(message Message)
	// HandleCall returns the answer to a message.
	HandleCall(ctx context.Context, message Message) Message
}

// Transport sends messages to other nodes.
type Transport interface {
	// Address is the node's own peer address.
	Address() string
	// Send sends a datagram; it may be lost without an error.
	Send(address string, message Message)
	// Call sends a message and waits for its answer.
	Call(ctx context.Context, address string, message Message) (Message, error)
}
