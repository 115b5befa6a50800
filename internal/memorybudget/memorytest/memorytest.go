// Package memorytest helps to test that what a peer sends, endless or huge, is read within a bounded heap.
package memorytest

import (
	"bytes"
	"io"
	"runtime"
)

// MaxSent bounds endless input, so that a reader without a limit fails its test and not the machine.
const MaxSent = 64 << 20

// blockBytes is the least size of a write of Flood.
const blockBytes = 32 << 10

// AllocatedBy returns how many bytes the process allocates while do runs, including what is already garbage.
func AllocatedBy(do func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	do()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
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
