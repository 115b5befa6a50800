package search

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	leafv1 "github.com/portgauge/portgauge/gen/portgauge/leaf/v1"
	searchv1 "github.com/portgauge/portgauge/gen/portgauge/search/v1"
	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/quarantine"
	"github.com/portgauge/portgauge/internal/quarantine/fingerprint"
)

// noListener ignores all notifications.
type noListener struct{}

func (noListener) Suspected(quarantine.Subject)       {}
func (noListener) EvidenceDropped(quarantine.Subject) {}
func (noListener) Quarantined(quarantine.Record)      {}
func (noListener) RetestDue(quarantine.Record)        {}
func (noListener) RetestAnswered(quarantine.Record)   {}

// A search that crashes leafs is quarantined even if it is repeated under other IDs. A search whose connections are
// lost while the leafs keep running is not.
func TestSearchThatCrashesLeafsIsQuarantined(t *testing.T) {
	for name, hasExited := range map[string]bool{"crashed": true, "connection lost": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				leafs := &scriptedLeafs{hasExited: hasExited, answer: func(string, *leafv1.SearchShardRequest) (time.Duration, error) {
					return time.Millisecond, status.Error(codes.Unavailable, "transport is closing")
				}}
				engine, _ := newTestEngine(t, leafs)
				engine.quarantine = quarantine.NewRegister(quarantine.Deps{
					Config: quarantine.DefaultConfig(), StoredRecord: func(fingerprint.Fingerprint) *quarantine.Record { return nil },
				})
				engine.quarantine.SetListener(noListener{})
				search := func(id string) error {
					_, err := engine.Search(t.Context(), &searchv1.SearchRequest{Service: "s", RequestId: id})
					return err
				}
				// Each leaf restarts under the same ID; three crashes are sufficient, even of one leaf.
				for number := range 3 {
					is.True(search(fmt.Sprint("try-", number)) != nil)
					time.Sleep(2 * time.Second)
				}
				queried := len(leafs.queried)
				err := search("four")
				is.Equal(failure.Is(err, failure.Quarantined), hasExited)
				is.Equal(len(leafs.queried) == queried, hasExited)
				if hasExited {
					is.Equal(failure.From(err).Execution, failure.NotRun)
					is.True(failure.From(err).RetryAfter > 0)
				}
			})
		})
	}
}
