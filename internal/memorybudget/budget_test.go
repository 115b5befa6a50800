package memorybudget

import (
	"errors"
	"sync"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/portgauge/portgauge/internal/failure"
)

const testLimit = 64 << 20

func newFairBudget() *Budget { return &Budget{limit: testLimit, isFair: true} }

// TestOnePeerCantUseUpTheBudget guards against a leaf whose answers take all memory, so that those of sound leafs are
// refused.
func TestOnePeerCantUseUpTheBudget(t *testing.T) {
	is := is.New(t)
	budget := newFairBudget()
	greedy := budget.Open(Leaf, "greedy").Reserve()
	for size := int64(testLimit); size > 0; {
		if greedy.Grow(size) != nil {
			size /= 2
		}
	}
	is.Equal(greedy.Bytes(), int64(testLimit/2))
	largest := budget.Open(Leaf, "sound").Reserve()
	is.NoErr(largest.Grow(16 << 20)) // the largest answer
}

// takeAll reserves as much as the budget gives.
func takeAll(reservation *Reservation) {
	for size := int64(testLimit); size > 0; size /= 2 {
		for reservation.Grow(size) == nil {
		}
	}
}

// After each of some peers has taken all that it gets, half of what is free is still there for one more.
func TestBudgetIsNeverUsedUp(t *testing.T) {
	is := is.New(t)
	budget := newFairBudget()
	for number := range 12 {
		free := testLimit - budget.Held()
		taken := budget.Open(Leaf, string(rune('a'+number))).Reserve()
		takeAll(&taken)
		is.Equal(taken.Bytes(), free/2)
	}
}

// Whatever is reserved, moved and released in any order, the budget holds the sum, never more than its limit, and nothing
// at the end, and no account remains.
func TestBudgetHoldsWhatIsReserved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		budget := &Budget{limit: 1000, isFair: rapid.Bool().Draw(t, "is fair")}
		accounts := map[string]*Account{"a": budget.Open(Leaf, "a"), "b": budget.Open(Leaf, "b"), "c": budget.Open(Caller, "a")}
		holds := []*Hold{{}, {}}
		var reservations []*Reservation
		sum := func() (total int64) {
			for _, one := range reservations {
				total += one.Bytes()
			}
			for _, hold := range holds {
				for _, one := range hold.reservations {
					total += one.Bytes()
				}
			}
			return total
		}
		t.Repeat(map[string]func(*rapid.T){
			"reserve": func(t *rapid.T) {
				reservation := accounts[rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account")].Reserve()
				bytes := int64(rapid.IntRange(0, 1200).Draw(t, "bytes"))
				if err := reservation.Grow(bytes); err != nil {
					var exceeded *ExceededError
					is.True(errors.As(err, &exceeded))
					is.Equal(exceeded.Bytes, bytes)
				}
				reservations = append(reservations, &reservation)
			},
			"shrink": func(t *rapid.T) {
				if len(reservations) > 0 {
					rapid.SampledFrom(reservations).Draw(t, "reservation").Shrink(int64(rapid.IntRange(0, 500).Draw(t, "bytes")))
				}
			},
			"keep": func(t *rapid.T) {
				if len(reservations) > 0 {
					rapid.SampledFrom(holds).Draw(t, "hold").Keep(rapid.SampledFrom(reservations).Draw(t, "reservation"))
				}
			},
			"release": func(t *rapid.T) {
				rapid.SampledFrom(holds).Draw(t, "hold").Release()
			},
			"": func(*rapid.T) {
				is.Equal(budget.Held(), sum())
				is.True(budget.Held() <= budget.limit)
			},
		})
		for _, one := range reservations {
			one.Release()
		}
		for _, hold := range holds {
			hold.Release()
		}
		for _, account := range accounts {
			account.Close()
		}
		is.Equal(budget.Held(), int64(0))
		is.Equal(len(budget.accounts), 0)
	})
}

// Reservations of many goroutines at once stay within the limit and are all given back.
func TestBudgetIsSafeForConcurrentUse(t *testing.T) {
	is := is.New(t)
	refused := 0
	var mu sync.Mutex
	budget := &Budget{limit: 1000, isFair: true, onRefused: func(kind Kind) {
		mu.Lock()
		defer mu.Unlock()
		is.Equal(kind, Leaf)
		refused++
	}}
	var running sync.WaitGroup
	for number := range 16 {
		running.Go(func() {
			for range 500 {
				account := budget.Open(Leaf, string(rune('a'+number%4)))
				reservation := account.Reserve()
				if reservation.Grow(int64(number*20)) == nil && budget.Held() > 1000 {
					t.Error("more is held than the limit")
				}
				var hold Hold
				hold.Keep(&reservation)
				hold.Release()
				account.Close()
			}
		})
	}
	running.Wait()
	is.Equal(budget.Held(), int64(0))
	is.Equal(len(budget.accounts), 0)
	t.Log(refused, "refused")
}

// A nil budget, account, reservation or hold is unlimited.
func TestNilIsUnlimited(t *testing.T) {
	is := is.New(t)
	var budget *Budget
	account := budget.Open(Leaf, "a")
	reservation := account.Reserve()
	is.NoErr(reservation.Grow(1 << 60))
	var hold *Hold
	hold.Keep(&reservation)
	var none *Reservation
	is.NoErr(none.Grow(1 << 60))
	none.Shrink(1)
	none.Release()
	account.Close()
	is.Equal(budget.Held(), int64(0))
}

// The budgets of a small machine are parts of its memory, and those of a large one the configured sizes.
func TestBudgetsFitTheMachine(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	cfg.LimitBytes = 184_000_000
	is.Equal(cfg.NewRequests(nil).Limit(), int64(61_333_333))
	is.Equal(cfg.NewControl(nil).Limit(), int64(46_000_000))
	is.Equal(cfg.SoftLimit(), int64(165_600_000))
	cfg.LimitBytes = 8 << 30
	is.Equal(cfg.NewRequests(nil).Limit(), cfg.RequestBytes)
	is.Equal(cfg.NewControl(nil).Limit(), cfg.ControlBytes)
	is.True(DefaultConfig().Limit() > 0) // the memory of this machine
}

func TestValidateNamesEveryInvalidField(t *testing.T) {
	is := is.New(t)
	is.NoErr(DefaultConfig().Validate())
	is.Equal(len(failure.Faults(Config{LimitBytes: -1}.Validate())), 3)
}
