package hedging

import "sync"

// tokenUnit is one token in thousandths, so that a share in per mille is an integer.
const tokenUnit = 1000

// budget is a token bucket that is filled by first attempts rather than by time: each
// earns a share of a token. It is safe for concurrent use.
type budget struct {
	mu       sync.Mutex
	perMille int
	tokens   int // in thousandths
	limit    int // in thousandths; 0 before init
}

// init sets the share of a token earned per attempt and the maximum number of tokens. The budget is full only
// after the first call, so that a changed share adds no tokens.
func (b *budget) init(perMille uint32, burst int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limit == 0 {
		b.tokens = burst * tokenUnit
	}
	b.perMille = int(perMille)
	b.limit = burst * tokenUnit
}

// earn adds the tokens that first attempts earn.
func (b *budget) earn(attempts int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.limit, b.tokens+attempts*b.perMille)
}

// take takes a token and reports whether there was one.
func (b *budget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < tokenUnit {
		return false
	}
	b.tokens -= tokenUnit
	return true
}
