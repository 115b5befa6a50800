package peer

import (
	"bufio"
	"io"
	"net"

	json "github.com/goccy/go-json"

	"github.com/portgauge/portgauge/internal/compression"
)

// compressAbove is the size in bytes above which a line is compressed. Configuration values compress well, since they
// consist mostly of repeated field names and addresses.
const compressAbove = 1024

// compressed is the envelope of a large message: it contains the compressed line.
type compressed struct {
	Gzip []byte `json:"gzip"`
}

// writeLine sends a message as one line and returns the number of bytes sent.
func writeLine(connection net.Conn, message Message) (int, error) {
	line, err := encodeLine(message)
	if err != nil {
		return 0, err
	}
	return connection.Write(append(line, '\n'))
}

// readLine receives a message and returns it with the number of bytes received.
func readLine(connection net.Conn) (Message, int, error) {
	reader := bufio.NewReader(io.LimitReader(connection, MaxLine))
	line, err := reader.ReadBytes('\n')
	if err != nil {
		return Message{}, 0, err
	}
	message, err := decodeLine(line)
	return message, len(line), err
}

func encodeLine(message Message) ([]byte, error) {
	line, err := json.Marshal(message)
	if err != nil || len(line) <= compressAbove || message.isPacked() {
		return line, err
	}
	packed, err := compression.Compress(line)
	if err != nil {
		return nil, err
	}
	return json.Marshal(compressed{Gzip: packed})
}

// isPacked reports whether most of a message is already compressed, as a batch or a snapshot is.
func (m Message) isPacked() bool {
	return m.Push != nil || m.State != nil && len(m.State.Snapshot) > 0
}

func decodeLine(line []byte) (Message, error) {
	var envelope struct {
		Message
		compressed
	}
	if err := json.Unmarshal(line, &envelope); err != nil {
		return Message{}, err
	}
	if len(envelope.Gzip) == 0 {
		return envelope.Message, nil
	}
	expanded, err := compression.Expand(envelope.Gzip, MaxLine)
	if err != nil {
		return Message{}, err
	}
	var message Message
	return message, json.Unmarshal(expanded, &message)
}
