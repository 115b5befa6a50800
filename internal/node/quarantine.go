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

// newClock returns the clock that includes suspensions, or nil (the monotonic clock) if the kernel doesn't have it.
func newClock(logger *zap.Logger) boottime.Clock {
	clock, err := boottime.System()
	if err != nil {
		logger.Warn("the kernel has no clock that includes suspensions of the machine; the node uses the monotonic clock and does not detect suspensions", zap.Error(err))
		return nil
	}
	return clock
}

func newRegister(cfg settings.Settings, cat *catalog.Catalog, self catalog.NodeRecord, clock boottime.Clock) *quarantine.Register {
	return quarantine.NewRegister(quarantine.Deps{Config: cfg.Quarantine, Clock: clock, StoredRecord: cat.Quarantine, Self: self.ID})
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

// quarantineEvents writes the events of the quarantine to the decision log and counts quarantined requests.
type quarantineEvents struct {
	log     *decisionlog.Log
	metrics *telemetry.Metrics
}

var _ quarantinesync.EventLog = quarantineEvents{}

// Names of quarantine events in the decision log.
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
	// Leafs are the leafs that crashed while they ran the request.
	Leafs   []string `json:"leafs,omitempty"`
	Retests int      `json:"trials,omitempty"`
	// By is the node that quarantined the request, From the node that sent the record to this one.
	By       string `json:"by,omitempty"`
	From     string `json:"from,omitempty"`
	Findings int    `json:"findings,omitempty"`
	Error    string `json:"error,omitempty"`
}

func (e quarantineEvents) write(name string, record quarantine.Record, from string, err error) {
	event := quarantineEvent{
		Time: time.Now(), Event: name, Content: record.Fingerprint, Path: record.Path, Caller: record.Caller,
		Leafs: record.Leafs, Retests: record.Retests, By: record.FoundBy, From: from, Error: errorText(err),
	}
	e.log.Write(decisionlog.Important, event)
}

func (e quarantineEvents) Quarantined(record quarantine.Record, from string) {
	e.metrics.Quarantined.Inc()
	e.write(eventQuarantined, record, from, nil)
}

func (e quarantineEvents) Saved(record quarantine.Record, err error) {
	e.write(eventQuarantineSaved, record, "", err)
}

func (e quarantineEvents) Retest(record quarantine.Record, err error) {
	e.write(eventQuarantineRetest, record, "", err)
}

func (e quarantineEvents) Lifted(content fingerprint.Fingerprint) {
	e.log.Write(decisionlog.Important, quarantineEvent{Time: time.Now(), Event: eventQuarantineLifted, Content: content})
}

func (e quarantineEvents) Dropped(findings int) {
	e.log.Write(decisionlog.Important, quarantineEvent{Time: time.Now(), Event: eventQuarantineDropped, Findings: findings})
}
