package api

import (
	"errors"
	"io"
	"net/http"
	"strings"

	"connectrpc.com/connect"
	"github.com/gin-gonic/gin"

	"github.com/portgauge/portgauge/internal/memorybudget"
)

// Limits of an HTTP/2 connection: what a client may send before it is read, in bytes.
const (
	maximumUnreadBytes       = 256 << 10
	maximumUnreadStreamBytes = 64 << 10
)

// limitMemory returns a handler that reserves the memory of each call: its header, its body as it is read, and a whole
// message of the given maximum size if the body is compressed. A call that doesn't fit hasn't run.
func limitMemory(memory *memorybudget.Budget, kind memorybudget.Kind, maximumBytes int64) gin.HandlerFunc {
	errorWriter := connect.NewErrorWriter()
	return func(c *gin.Context) {
		account := memory.OpenHost(kind, c.Request.RemoteAddr)
		defer account.Close()
		reservation := account.Reserve()
		defer reservation.Release()
		reserved := memorybudget.HeaderBytes(c.Request.Header)
		if isCompressed(c.Request.Header) {
			reserved += memorybudget.MessageBytes(maximumBytes)
		}
		var exceeded *memorybudget.ExceededError
		if errors.As(reservation.Grow(reserved), &exceeded) {
			// An error means that the client has closed the connection.
			_ = errorWriter.Write(c.Writer, c.Request, toRPC(exceeded.Refusal()))
			c.Abort()
			return
		}
		c.Request.Body = &meteredBody{ReadCloser: c.Request.Body, reservation: &reservation}
		c.Next()
	}
}

// isCompressed reports whether a header says that messages are compressed, in any of the three protocols.
func isCompressed(header http.Header) bool {
	for _, name := range []string{"Content-Encoding", "Connect-Content-Encoding", "Grpc-Encoding"} {
		if encoding := header.Get(name); encoding != "" && !strings.EqualFold(encoding, "identity") {
			return true
		}
	}
	return false
}

// meteredBody reserves what is read of a body, and of what is decoded from it.
type meteredBody struct {
	io.ReadCloser
	reservation *memorybudget.Reservation
}

// Read implements io.Reader.
func (b *meteredBody) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	if exceeded := b.reservation.Grow(memorybudget.MessageBytes(int64(n))); exceeded != nil {
		return 0, exceeded
	}
	return n, err
}
