package main

import "github.com/portgauge/portgauge/internal/lab/kvstore"

// kvFaults are the faults of the store.
type kvFaults = kvstore.Faults
