package memorybudget

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/portgauge/portgauge/internal/memorybudget/memorytest"
)

// endless repeats bytes without an end.
type endless struct {
	repeated string
	sent     int
}

func (e *endless) Read(buffer []byte) (int, error) {
	for index := range buffer {
		buffer[index] = e.repeated[e.sent%len(e.repeated)]
		e.sent++
	}
	return len(buffer), nil
}

// A body is returned whole if it is within its limit and the budget, whatever length is declared; otherwise the error says
// which it exceeds. Its buffer is reserved.
func TestReadBodyReturnsWholeBodyOrTypedError(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		sent := rapid.SliceOfN(rapid.Byte(), 0, 5000).Draw(t, "sent")
		limit := int64(rapid.IntRange(0, 5000).Draw(t, "limit"))
		length := rapid.Int64Range(-1, 5000).Draw(t, "declared length")
		budget := &Budget{limit: int64(rapid.IntRange(0, 12000).Draw(t, "budget"))}
		reservation := budget.Open(Leaf, "a").Reserve()
		source := io.Reader(bytes.NewReader(sent))
		if length >= 0 {
			source = io.LimitReader(source, length)
		}
		body, err := ReadBody(source, length, limit, &reservation)
		var tooLarge *TooLargeError
		var exceeded *ExceededError
		size := int64(len(sent))
		switch {
		case errors.As(err, &exceeded):
			is.True(exceeded.Bytes > budget.limit-exceeded.Held)
		case errors.As(err, &tooLarge):
			is.True(length > limit || length < 0 && size > limit)
		case length > size:
			is.Equal(err, map[bool]error{true: io.EOF, false: io.ErrUnexpectedEOF}[size == 0])
		default:
			is.NoErr(err)
			want := sent
			if length >= 0 {
				want = sent[:length]
			}
			is.True(bytes.Equal(body, want))
			is.True(reservation.Bytes() >= int64(len(body)))
		}
	})
}

// Endless and huge input of every reader ends with a typed error, and allocates a small multiple of the limit.
func TestEndlessInputIsBounded(t *testing.T) {
	const limit = 64 << 10
	var tooLarge *TooLargeError
	var exceeded *ExceededError
	readers := map[string]func(source io.Reader, reservation *Reservation) error{
		"body": func(source io.Reader, reservation *Reservation) error {
			_, err := ReadBody(source, -1, limit, reservation)
			return err
		},
		"declared body": func(source io.Reader, reservation *Reservation) error {
			_, err := ReadBody(source, 1<<50, limit, reservation)
			return err
		},
		"line": func(source io.Reader, reservation *Reservation) error {
			_, err := NewLineReader(source, limit).Read(reservation)
			return err
		},
		"head": func(source io.Reader, reservation *Reservation) error {
			heads := NewHeadReader(source)
			if err := heads.Begin(nil, limit, reservation); err != nil {
				return err
			}
			_, err := io.Copy(io.Discard, heads)
			return err
		},
	}
	for name, read := range readers {
		for _, budgetBytes := range []int64{8 << 10, 64 << 20} {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				budget := &Budget{limit: budgetBytes}
				reservation := budget.Open(Leaf, "a").Reserve()
				var err error
				allocated := memorytest.AllocatedBy(func() { err = read(&endless{repeated: "x"}, &reservation) })
				is.True(errors.As(err, &tooLarge) || errors.As(err, &exceeded))
				is.Equal(errors.As(err, &exceeded), budgetBytes < limit && name != "declared body")
				is.True(allocated < 8*limit)
				is.True(budget.Held() <= budgetBytes)
			})
		}
	}
}

// Lines are read as they were sent, in any pieces, and one over the limit ends the connection.
func TestLinesAreReadAsSent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		limit := rapid.IntRange(0, 20000).Draw(t, "limit")
		var lines []string
		for _, size := range rapid.SliceOfN(rapid.IntRange(0, 15000), 1, 6).Draw(t, "sizes") {
			lines = append(lines, strings.Repeat("l", size))
		}
		budget := &Budget{limit: 1 << 20}
		reader := NewLineReader(strings.NewReader(strings.Join(lines, "\n")+"\n"), int64(limit))
		for _, line := range lines {
			reservation := budget.Open(Node, "a").Reserve()
			got, err := reader.Read(&reservation)
			if len(line) > limit {
				var tooLarge *TooLargeError
				is.True(errors.As(err, &tooLarge))
				return
			}
			is.NoErr(err)
			is.Equal(string(got), line)
			is.True(reservation.Bytes() >= int64(len(line)))
			reservation.Release()
		}
		_, err := reader.Read(nil)
		is.Equal(err, io.EOF)
	})
}

func TestLineWithoutEndIsAnError(t *testing.T) {
	for _, size := range []int{1, lineBufferBytes, 3 * lineBufferBytes} {
		is := is.New(t)
		_, err := NewLineReader(strings.NewReader(strings.Repeat("x", size)), 1<<20).Read(nil)
		is.Equal(err, io.ErrUnexpectedEOF)
	}
}

// What was buffered before a head begins counts toward it.
func TestBufferedPartOfHeadCounts(t *testing.T) {
	is := is.New(t)
	heads := NewHeadReader(&endless{repeated: "n:\n"})
	reader := bufio.NewReaderSize(heads, 1024)
	buffered, err := reader.Peek(1000)
	is.NoErr(err)
	budget := &Budget{limit: 1 << 20}
	reservation := budget.Open(Leaf, "a").Reserve()
	is.NoErr(heads.Begin(buffered, 3000, &reservation))
	read, err := io.Copy(io.Discard, reader)
	var tooLarge *TooLargeError
	is.True(errors.As(err, &tooLarge))
	is.Equal(read, int64(3024)) // with the 24 bytes that were buffered and not peeked
	is.True(reservation.Bytes() > 3000/3*fieldBytes)
}
