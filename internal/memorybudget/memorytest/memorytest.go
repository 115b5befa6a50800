// Package memorytest helps to test that what a peer sends, endless or huge, is read within a bounded heap.
package memorytest

import (
	"bytes"
	"io"
	"runtime"
	"time"
)

// MaxSent bounds endless input, so that a reader without a limit fails its test and not the machine.
const MaxSent = 64 << 20

// blockBytes is the least size of a write of Flood.
const blockBytes = 32 << 10

// AllocatedBy returns how many bytes the process allocates while do runs, including what is already garbage. It first waits
// until goroutines that earlier tests left behind have stopped allocating.
func AllocatedBy(do func()) uint64 {
	awaitQuiet()
	before := totalAllocated()
	do()
	return totalAllocated() - before
}

// The process is quiet if it allocates at most quietBytes within each of quietRounds pauses in a row.
const (
	quietBytes  = 64 << 10
	quietRounds = 20
	quietPause  = 5 * time.Millisecond
	quietLimit  = 30 * time.Second
)

// awaitQuiet waits until the process is quiet, for quietLimit at most.
func awaitQuiet() {
	before := totalAllocated()
	rounds := 0
	for end := time.Now().Add(quietLimit); rounds < quietRounds && time.Now().Before(end); rounds++ {
		time.Sleep(quietPause)
		after := totalAllocated()
		if after-before > quietBytes {
			rounds = 0
		}
		before = after
	}
}

func totalAllocated() uint64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.TotalAlloc
}

// Flood writes begin, and then repeated until a write fails or MaxSent bytes are written.
func Flood(to io.Writer, begin, repeated string) {
	if _, err := io.WriteString(to, begin); err != nil {
		return
	}
	block := bytes.Repeat([]byte(repeated), max(1, blockBytes/len(repeated)))
	for sent := 0; sent < MaxSent; sent += len(block) {
		if _, err := to.Write(block); err != nil {
			return
		}
	}
}
