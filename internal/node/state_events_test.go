package node

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/config/configsync"
	"github.com/portgauge/portgauge/internal/node/decisionlog"
)

// Guards against leaf_leaving events that lack the source of the notice or show another one.
func TestLeavingLeafIsLoggedWithSource(t *testing.T) {
	is := is.New(t)
	var output bytes.Buffer
	log := decisionlog.New(decisionlog.DefaultConfig(), &output, func() {})
	newStateEvents(log, nil).leafLeaving("leaf-1", configsync.SourceGossip)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	log.Run(ctx)
	is.True(strings.Contains(output.String(), `"event":"leaf_leaving","leaf":"leaf-1","source":"gossip"`))
}
