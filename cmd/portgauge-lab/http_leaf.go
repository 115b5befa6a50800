package main

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"os/signal"
	"syscall"
	"time"

	"github.com/portgauge/portgauge/internal/lab/httpleaf"
	"github.com/portgauge/portgauge/internal/request/httpnames"
)

// httpLeafCommand runs a stand-in leaf for routes. The leaf answers with random records.
type httpLeafCommand struct {
	ID      string        `help:"ID of this incarnation of the leaf." required:""`
	Address string        `help:"IP address and port." default:"127.0.0.1:7600"`
	Records int           `help:"Records of 16 bytes in an answer." default:"20"`
	Delay   time.Duration `help:"Service time of a request." default:"2ms"`
}

// Run serves requests until SIGTERM or SIGINT.
func (c *httpLeafCommand) Run() error {
	leaf, err := httpleaf.StartAt(c.Address, c.ID, httpnames.Default(), func(httpleaf.Request) httpleaf.Answer {
		return httpleaf.Answer{Delay: c.Delay, Body: c.records()}
	})
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	<-ctx.Done()
	leaf.Stop()
	return nil
}

// records returns a body of readable records, each a line of 16 bytes.
func (c *httpLeafCommand) records() []byte {
	var body bytes.Buffer
	for range c.Records {
		fmt.Fprintf(&body, "%06d %-8.8s\n", rand.IntN(1_000_000), c.ID)
	}
	return body.Bytes()
}
