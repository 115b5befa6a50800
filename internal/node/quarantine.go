package node

import (
	"time"

	"go.uber.org/fx"
	"go.uber.org/zap"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/config/store"
	"github.com/portgauge/portgauge/internal/fleet/peer"
	"github.com/portgauge/portgauge/internal/node/boottime"
	"github.com/portgauge/portgauge/internal/node/decisionlog"
	"github.com/portgauge/portgauge/internal/node/settings"
	"github.com/portgauge/portgauge/internal/node/telemetry"
	"github.com/portgauge/portgauge/internal/quarantine"
	"github.com/portgauge/portgauge/internal/quarantine/fingerprint"
	"github.com/portgauge/portgauge/internal/quarantine/quarantinesync"
)

// newClock returns the clock that includes suspensions, or the monotonic one (nil) if the kernel has none.
func newClock(logger *zap.Logger) boottime.Clock {
	clock, err := boottime.System()
	if err != nil {
		logger.Warn("suspensions of the machine are not counted", zap.Error(err))
		return nil
	}
	return clock
}

func newRegister(config settings.Settings, known *catalog.Catalog, self catalog.NodeRecord, clock boottime.Clock) *quarantine.Register {
	return quarantine.NewRegister(quarantine.Deps{Config: config.Quarantine, Clock: clock, StoredRecord: known.Quarantine, Self: self.ID})
}

type quarantineDeps struct {
	fx.In

	Config    settings.Settings
	Register  *quarantine.Register
	Catalog   *catalog.Catalog
	Store     store.Store
	Self      catalog.NodeRecord
	Transport *peer.SocketTransport
	Log       *decisionlog.Log
	Metrics   *telemetry.Metrics
}

func newQuarantineSync(deps quarantineDeps) *quarantinesync.Sync {
	return quarantinesync.New(quarantinesync.Deps{
		Config: deps.Config.QuarantineSync, Limits: deps.Config.Quarantine, Register: deps.Register, Catalog: deps.Catalog,
		Store: deps.Store, Self: deps.Self, Sender: deps.Transport, Events: quarantineEvents{deps.Log, deps.Metrics},
	})
}

// quarantineEvents writes the events of crashing requests to the decision log.
type quarantineEvents struct {
	log     *decisionlog.Log
	metrics *telemetry.Metrics
}

var _ quarantinesync.EventLog = quarantineEvents{}

// Names of events of the quarantine.
const (
	eventQuarantined       = "request_quarantined"
	eventQuarantineSaved   = "quarantine_saved"
	eventQuarantineRetest  = "quarantine_trial"
	eventQuarantineLifted  = "quarantine_lifted"
	eventQuarantineDropped = "quarantine_findings_dropped"
)

type quarantineEvent struct {
	Time    time.Time               `json:"time"`
	Event   string                  `json:"event"`
	Content fingerprint.Fingerprint `json:"content,omitzero"`
	Path    string                  `json:"path,omitempty"`
	Caller  string                  `json:"caller,omitempty"`
	// Leafs crashed under the request.
	Leafs   []string `json:"leafs,omitempty"`
	Retests int      `json:"trials,omitempty"`
	// By is the node that found it, From the node that this one learned it from.
	By       string `json:"by,omitempty"`
	From     string `json:"from,omitempty"`
	Findings int    `json:"findings,omitempty"`
	Error    string `json:"error,omitempty"`
}

func (e quarantineEvents) write(name string, record quarantine.Record, from string, err error) {
	event := quarantineEvent{
		Time: time.Now(), Event: name, Content: record.Content, Path: record.Path, Caller: record.Caller,
		Leafs: record.Leafs, Retests: record.Retests, By: record.By, From: from, Error: textOf(err),
	}
	e.log.Write(decisionlog.Failed, event)
}

// Quarantined implements quarantinesync.EventLog.
func (e quarantineEvents) Quarantined(record quarantine.Record, from string) {
	e.metrics.Quarantined.Inc()
	e.write(eventQuarantined, record, from, nil)
}

// Saved implements quarantinesync.EventLog.
func (e quarantineEvents) Saved(record quarantine.Record, err error) {
	e.write(eventQuarantineSaved, record, "", err)
}

// Retest implements quarantinesync.EventLog.
func (e quarantineEvents) Retest(record quarantine.Record, err error) {
	e.write(eventQuarantineRetest, record, "", err)
}

// Lifted implements quarantinesync.EventLog.
func (e quarantineEvents) Lifted(content fingerprint.Fingerprint) {
	e.log.Write(decisionlog.Failed, quarantineEvent{Time: time.Now(), Event: eventQuarantineLifted, Content: content})
}

// Dropped implements quarantinesync.EventLog.
func (e quarantineEvents) Dropped(findings int) {
	e.log.Write(decisionlog.Failed, quarantineEvent{Time: time.Now(), Event: eventQuarantineDropped, Findings: findings})
}
