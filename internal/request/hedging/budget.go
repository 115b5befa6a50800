package hedging

import "sync"

// tokenUnit is one token in thousandths, so that a fraction in per mille is an integer.
const tokenUnit = 1000

// budget is a token bucket that is filled by first attempts rather than by time: each attempt adds a fraction of a
// token. It is safe for concurrent use.
type budget struct {
	mu       sync.Mutex
	perMille int
	tokens   int // in thousandths
	limit    int // in thousandths; 0 before init
}

// init sets the fraction of a token per attempt and the maximum number of tokens. Only the first call fills the budget,
// so that a later change adds no tokens.
func (b *budget) init(perMille uint32, burst int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limit == 0 {
		b.tokens = burst * tokenUnit
	}
	b.perMille = int(perMille)
	b.limit = burst * tokenUnit
}

// earn adds the tokens of first attempts.
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
