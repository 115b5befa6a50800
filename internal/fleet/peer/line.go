package peer

import (
	"net"

	json "github.com/goccy/go-json"

	"github.com/portgauge/portgauge/internal/compression"
	"github.com/portgauge/portgauge/internal/memorybudget"
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

// readLine receives a message and returns it with the number of bytes received. The message holds the memory of the account
// until its Release.
func readLine(connection net.Conn, account *memorybudget.Account) (Message, int, error) {
	reservation := account.Reserve()
	line, err := memorybudget.NewLineReader(connection, MaxLine).Read(&reservation)
	if err != nil {
		reservation.Release()
		return Message{}, 0, err
	}
	message, err := decodeLine(line, &reservation)
	if err != nil {
		reservation.Release()
		return Message{}, 0, err
	}
	message.memory = &reservation
	return message, len(line) + 1, nil
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

// decodeLine decodes a message and adds its memory to the reservation, which may be nil.
func decodeLine(line []byte, reservation *memorybudget.Reservation) (Message, error) {
	var envelope struct {
		Message
		compressed
	}
	if err := decodeInto(&envelope, line, reservation); err != nil {
		return Message{}, err
	}
	if len(envelope.Gzip) == 0 {
		return envelope.Message, nil
	}
	var message Message
	return message, expandInto(&message, envelope.Gzip, reservation)
}
