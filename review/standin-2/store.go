package main

import (
	"os"

	"github.com/portgauge/portgauge/internal/lab/kvstore"
)

// kvFaults are the faults of the store.
type kvFaults = kvstore.Faults

// program is the program of the deploy file.
func program() string {
	if path := os.Getenv("PROGRAM"); path != "" {
		return path
	}
	return "target/portgauge"
}
