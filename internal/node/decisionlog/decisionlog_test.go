package decisionlog

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/failure"
)

type testEvent struct {
	Number int `json:"number"`
}

// blockedOutput blocks every write until it is released.
type blockedOutput struct {
	release chan struct{}
	mu      sync.Mutex
	content bytes.Buffer
}

func (b *blockedOutput) Write(line []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.content.Write(line)
}

// Callers of Write must not wait for a blocked output, and the lines dropped meanwhile must be reported.
func TestBlockedOutputDoesNotBlockWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		output := &blockedOutput{release: make(chan struct{})}
		dropped := 0
		log := New(Config{LinesPerSecond: 1e6, FailureLinesPerSecond: 1e6, Queue: 10}, output, func() { dropped++ })
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			log.Run(ctx)
			close(ended)
		}()
		for number := range 100 {
			log.Write(Ordinary, testEvent{number})
		}
		is.True(dropped >= 89)
		close(output.release)
		time.Sleep(time.Second)
		cancel()
		<-ended
		is.True(strings.Contains(output.content.String(), `"event":"lines_left_out"`))
	})
}

// Ordinary lines must not use up the rate of important lines.
func TestImportantLinesHaveTheirOwnRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var output bytes.Buffer
		dropped := 0
		log := New(Config{LinesPerSecond: 2, FailureLinesPerSecond: 5, Queue: 1000}, &output, func() { dropped++ })
		for number := range 100 {
			log.Write(Ordinary, testEvent{number})
		}
		is.Equal(dropped, 94)
		log.Write(Important, testEvent{1000})
		is.Equal(dropped, 94)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		log.Run(ctx)
		is.True(strings.Contains(output.String(), `{"number":1000}`))
		is.True(strings.Contains(output.String(), `"lines":94`))
	})
}

func TestValidateNamesEveryInvalidField(t *testing.T) {
	is := is.New(t)
	is.NoErr(DefaultConfig().Validate())
	is.Equal(len(failure.Faults(Config{LinesPerSecond: -1, FailureLinesPerSecond: -1}.Validate())), 3)
}
