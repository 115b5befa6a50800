package hedging

import "sync"

// tokenUnit is one token in thousandths, so that a share per mille is a whole number.
const tokenUnit = 1000

// budget is a token bucket that is filled by work done rather than by time: each first
// attempt earns a share of a token. It is safe for concurrent use.
type budget struct {
	mutex    sync.Mutex
	perMille int
	tokens   int // in thousandths
	limit    int // in thousandths
}

// init sets the share earned per attempt and the most tokens kept. Tokens start at the
// limit only the first time, so that changing the share grants nothing.
func (b *budget) init(perMille uint32, burst int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.limit == 0 {
		b.tokens = burst * tokenUnit
	}
	b.perMille = int(perMille)
	b.limit = burst * tokenUnit
}

func (b *budget) earn(attempts int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tokens = min(b.limit, b.tokens+attempts*b.perMille)
}

func (b *budget) take() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.tokens < tokenUnit {
		return false
	}
	b.tokens -= tokenUnit
	return true
}
