package registry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"sync"
	"testing"
	"testing/synctest"
	"time"
	"unsafe"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/config/store"
	"github.com/portgauge/portgauge/internal/failure"
)

// memoryLessor is a store.Lessor that keeps leases in memory and can be made to fail.
type memoryLessor struct {
	mu      sync.Mutex
	failing bool
	lost    bool
	granted int
	kept    int
	ended   int
	put     map[string]int64
	// keptLast is the lease renewed last.
	keptLast int64
}

var errDown = errors.New("down")

func (m *memoryLessor) Grant(_ context.Context, timeToLive time.Duration) (int64, time.Duration, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failing {
		return 0, 0, errDown
	}
	m.granted++
	m.lost = false
	return int64(m.granted), timeToLive, nil
}

func (m *memoryLessor) Renew(_ context.Context, lease int64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.failing:
		return errDown
	case m.lost:
		return store.ErrLeaseGone
	}
	m.kept++
	m.keptLast = lease
	return nil
}

func (m *memoryLessor) Revoke(context.Context, int64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ended++
	return nil
}

func (m *memoryLessor) PutLeased(_ context.Context, key string, _ json.RawMessage, lease int64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.put[key] = lease
	return nil
}

// calls returns the number of grants, renewals and revocations so far, and the lease of a key.
func (m *memoryLessor) calls(key string) (granted, kept, ended int, lease int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.granted, m.kept, m.ended, m.put[key]
}

func (m *memoryLessor) set(failing, lost bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failing, m.lost = failing, lost
}

// A node registers, renews its lease, registers again when the lease has expired, and revokes it when it stops. A store
// outage only causes retries.
func TestNodeStaysRegisteredThroughStoreOutages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		lessor := &memoryLessor{put: map[string]int64{}, failing: true}
		record := New(DefaultConfig(), lessor, catalog.NodeRecord{ID: "n"}, zap.NewNop())
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			record.Run(ctx)
			close(ended)
		}()
		key := catalog.NodeKey("n")
		time.Sleep(5 * time.Second)
		granted, _, _, _ := lessor.calls(key)
		is.Equal(granted, 0)
		lessor.set(false, false)
		time.Sleep(2 * time.Second)
		granted, _, _, lease := lessor.calls(key)
		is.Equal(granted, 1)
		is.Equal(lease, int64(1))
		time.Sleep(time.Minute)
		_, kept, _, _ := lessor.calls(key)
		is.True(kept >= 5 && kept <= 6)
		lessor.set(true, true)
		time.Sleep(time.Minute)
		lessor.set(false, true)
		time.Sleep(5 * time.Second)
		granted, _, _, _ = lessor.calls(key)
		is.Equal(granted, 2)
		cancel()
		<-ended
		_, _, ends, _ := lessor.calls(key)
		is.Equal(ends, 1)
	})
}

func register(cat *catalog.Catalog, id string, deleted bool) {
	value, err := catalog.NewDocument("", []byte(`{"id":"`+id+`"}`), nil)
	if err != nil {
		panic(err)
	}
	revision := cat.Revision()
	cat.Apply(catalog.Change{Entry: catalog.Entry{Key: catalog.NodeKey(id), Value: value, Revision: revision + 1, Deleted: deleted}, Previous: revision})
}

// Nodes that are no longer registered count for the retention time, and a node that isn't registered has no share.
func TestGoneNodesCountForRetentionTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cat := catalog.New(nil)
		fleet := NewFleet(cat, "n1", time.Second)
		is.Equal(len(ids(fleet)), 0)
		register(cat, "n2", false)
		register(cat, "n3", false)
		is.Equal(ids(fleet), []string{"n2", "n3"})
		is.Equal(fleet.Share(false), 0.0)
		register(cat, "n1", false)
		is.Equal(fleet.Share(false), 1.0/3)
		register(cat, "n3", true)
		is.Equal(ids(fleet), []string{"n1", "n2", "n3"})
		time.Sleep(900 * time.Millisecond)
		is.Equal(fleet.Share(false), 1.0/3)
		time.Sleep(200 * time.Millisecond)
		is.Equal(ids(fleet), []string{"n1", "n2"})
	})
}

func TestValidateNamesEveryInvalidField(t *testing.T) {
	is := is.New(t)
	is.NoErr(DefaultConfig().Validate())
	is.Equal(len(failure.Faults(Config{}.Validate())), 4)
}

// ids returns the IDs of the nodes that a Fleet counts.
func ids(fleet *Fleet) []string {
	var ids []string
	for _, node := range fleet.Nodes() {
		ids = append(ids, node.ID)
	}
	return ids
}

// The nodes' shares of a bound add up to 1 whatever their sizes, and the gatherers have most of a bound on a gathered
// service.
func TestSharesAddUpToOne(t *testing.T) {
	is := is.New(t)
	for _, large := range []int{0, 1, 2, 5} {
		cat := catalog.New(nil)
		for index := range 5 {
			node := catalog.NodeRecord{ID: fmt.Sprintf("n%d", index), Zone: "z", Tree: "127.0.0.1:1", Processors: 0.2}
			if index < large {
				node.Processors = 0.8
			}
			putNode(t, cat, node)
		}
		for _, gathered := range []bool{false, true} {
			sum := 0.0
			for index := range 5 {
				sum += NewFleet(cat, fmt.Sprintf("n%d", index), time.Second).Share(gathered)
			}
			is.True(math.Abs(sum-1) < 1e-9)
		}
		isUneven := large > 0 && large < 5
		is.Equal(NewFleet(cat, "n0", time.Second).Share(true) > 0.2, isUneven)
		is.Equal(NewFleet(cat, "unknown", time.Second).Share(true), 0.0)
	}
}

// A node with less than half of the largest number of cores in its zone does not gather. A node of unknown size does.
func TestGatherers(t *testing.T) {
	is := is.New(t)
	nodes := []catalog.NodeRecord{
		{ID: "large", Zone: "a", Tree: "t", Processors: 0.8}, {ID: "half", Zone: "a", Tree: "t", Processors: 0.4},
		{ID: "small", Zone: "a", Tree: "t", Processors: 0.39}, {ID: "silent", Zone: "a", Tree: "t"},
		{ID: "other zone", Zone: "b", Tree: "t", Processors: 0.1},
		{ID: "large without tree", Zone: "c", Processors: 8}, {ID: "small there", Zone: "c", Tree: "t", Processors: 0.1},
	}
	var ids []string
	for _, node := range Gatherers(nodes) {
		ids = append(ids, node.ID)
	}
	is.Equal(ids, []string{"large", "half", "silent", "other zone", "large without tree", "small there"})
}

func putNode(t *testing.T, cat *catalog.Catalog, node catalog.NodeRecord) {
	t.Helper()
	content, err := json.Marshal(node)
	if err != nil {
		t.Fatal(err)
	}
	value, err := catalog.NewDocument("", content, nil)
	if err != nil {
		t.Fatal(err)
	}
	cat.Apply(catalog.Change{Entry: catalog.Entry{Key: catalog.NodeKey(node.ID), Value: value, Revision: cat.Revision() + 1}, Previous: cat.Revision()})
}

// The slice of gatherers is replaced only if the gatherers change, since callers compare slices.
func TestGatherersSliceIsReplacedOnlyOnChange(t *testing.T) {
	is := is.New(t)
	cat := catalog.New(nil)
	put := func(node catalog.NodeRecord) {
		document, err := json.Marshal(node)
		is.NoErr(err)
		value, err := catalog.NewDocument("", document, nil)
		is.NoErr(err)
		revision := cat.Revision()
		cat.Apply(catalog.Change{Entry: catalog.Entry{Key: catalog.NodeKey(node.ID), Value: value, Revision: revision + 1}, Previous: revision})
	}
	put(catalog.NodeRecord{ID: "large", Zone: "z", Tree: "127.0.0.1:1", Processors: 1})
	fleet := NewFleet(cat, "large", time.Minute)
	before := fleet.Gatherers()
	is.True(fleet.IsGatherer())
	put(catalog.NodeRecord{ID: "small", Zone: "z", Tree: "127.0.0.1:2", Processors: 0.1})
	is.Equal(len(fleet.Nodes()), 2)
	is.True(unsafe.SliceData(before) == unsafe.SliceData(fleet.Gatherers()))
	put(catalog.NodeRecord{ID: "larger", Zone: "z", Tree: "127.0.0.1:3", Processors: 4})
	is.Equal(len(fleet.Gatherers()), 1)
	is.True(!fleet.IsGatherer())
}

// A lease that expired while the machine was suspended is replaced as soon as the machine resumes, not at the next renewal.
func TestLeaseIsRenewedOnResume(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		lessor := &memoryLessor{put: map[string]int64{}}
		cfg := DefaultConfig()
		node := New(cfg, lessor, catalog.NodeRecord{ID: "n"}, zap.NewNop())
		ctx, cancel := context.WithCancel(t.Context())
		go node.Run(ctx)
		time.Sleep(cfg.TimeToLive / 10)
		synctest.Wait()
		granted, kept, _, _ := lessor.calls("")
		is.Equal(granted, 1)
		is.Equal(kept, 0)
		lessor.mu.Lock()
		lessor.lost = true
		lessor.mu.Unlock()
		node.Resumed()
		synctest.Wait()
		granted, _, _, _ = lessor.calls("")
		is.Equal(granted, 2)
		cancel()
		synctest.Wait()
	})
}
